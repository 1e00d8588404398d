# One line per module, in dependency order.
