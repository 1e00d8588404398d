#!/usr/bin/python3
"""Generates C++ value types, codecs and variants from the JSON Schemas in schema/.

Usage: tools/generate_types.py            writes src/generated/
       tools/generate_types.py --check    exits 1 when a committed file is out of date
The C++ is formatted with clang-format afterwards, so that the committed files pass the format check.
"""

import json
import pathlib
import subprocess
import sys

import jinja2

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA_FOLDER = ROOT / "schema"
OUTPUT_FOLDER = ROOT / "src" / "generated"
TEMPLATE_FOLDER = ROOT / "tools" / "templates"


def capitalized(name):
    return name[0].upper() + name[1:]


def camel_from_dashes(value):
    return "".join(capitalized(part) for part in value.split("-"))


class Field:
    """One property of an object type."""

    def __init__(self, json_name, spec, required, enums):
        self.json_name = json_name
        self.name = spec.get("x-name", json_name)
        self.doc = spec["description"]
        self.spec = spec
        self.required = required
        self.has_default = "default" in spec
        self.optional = not required and not self.has_default
        self.enums = enums

    def base_type(self, spec=None):
        spec = spec or self.spec
        if "$ref" in spec:
            return spec["$ref"].rsplit("/", 1)[1]
        kind = spec["type"]
        if kind == "array":
            return "std::vector<%s>" % self.base_type(spec["items"])
        return {
            "string": "std::string",
            "integer": "std::int64_t",
            "number": "double",
            "boolean": "bool",
        }[kind]

    def cpp_type(self):
        base = self.base_type()
        return "std::optional<%s>" % base if self.optional else base

    def is_enum(self):
        return "$ref" in self.spec and self.base_type() in self.enums

    def is_object(self):
        return "$ref" in self.spec and self.base_type() not in self.enums

    def returns_by_value(self):
        plain = self.spec.get("type") in ("integer", "number", "boolean") or self.is_enum()
        return plain and not self.optional

    def initializer(self):
        if self.optional:
            return ""
        if self.is_enum():
            value = self.spec.get("default", self.enums[self.base_type()][0])
            return " = %s::e%s" % (self.base_type(), camel_from_dashes(value))
        if self.is_object():
            return ""
        if not self.has_default:
            return {"integer": " = 0", "number": " = 0", "boolean": " = false"}.get(
                self.spec.get("type"), ""
            )
        if self.spec["type"] == "string":
            return ' = "%s"' % self.spec["default"] if self.spec["default"] else ""
        if self.spec["type"] == "boolean":
            return " = true" if self.spec["default"] else " = false"
        if self.spec["type"] == "array":
            return ""
        return " = %s" % self.spec["default"]

    def bounds(self, spec=None):
        """Returns the Bounds initializer that the codec checks this field with."""
        spec = spec or self.spec
        parts = []
        names = (
            ("minimum", "mMinimum"),
            ("maximum", "mMaximum"),
            ("minLength", "mMinLength"),
            ("maxLength", "mMaxLength"),
            ("minItems", "mMinItems"),
            ("maxItems", "mMaxItems"),
        )
        for key, member in names:
            if key in spec:
                parts.append(".%s = %s" % (member, spec[key]))
        if spec.get("contentEncoding") == "binary":
            parts.append(".mBinary = true")
        return "Bounds{ %s }" % ", ".join(parts) if parts else "Bounds{}"

    def item_bounds(self):
        return self.bounds(self.spec["items"]) if self.spec.get("type") == "array" else "Bounds{}"


class ObjectType:
    def __init__(self, name, spec, enums):
        self.name = name
        self.doc = spec["description"]
        self.closed = spec.get("additionalProperties", True) is False
        required = spec.get("required", [])
        self.fields = [
            Field(key, value, key in required, enums)
            for key, value in spec.get("properties", {}).items()
        ]


class EnumType:
    def __init__(self, name, spec):
        self.name = name
        self.doc = spec["description"]
        self.values = spec["enum"]

    def constants(self):
        return [("e" + camel_from_dashes(value), value) for value in self.values]


def dependencies(spec):
    """Yields the names of all types that a type refers to."""
    if isinstance(spec, dict):
        if "$ref" in spec:
            yield spec["$ref"].rsplit("/", 1)[1]
        for value in spec.values():
            yield from dependencies(value)


def in_dependency_order(definitions):
    ordered = []

    def visit(name):
        if name in ordered or name not in definitions:
            return
        for needed in dependencies(definitions[name]):
            visit(needed)
        ordered.append(name)

    for name in definitions:
        visit(name)
    return ordered


def load_schemas():
    return {path.stem: json.loads(path.read_text()) for path in sorted(SCHEMA_FOLDER.glob("*.json"))}


def render(schemas):
    """Returns the generated files as a map from file name to text."""
    enums = {
        name: spec["enum"]
        for schema in schemas.values()
        for name, spec in schema["$defs"].items()
        if "enum" in spec
    }
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(TEMPLATE_FOLDER),
        trim_blocks=True,
        lstrip_blocks=True,
        undefined=jinja2.StrictUndefined,
    )
    files = {}
    for stem, schema in schemas.items():
        definitions = schema["$defs"]
        types = [
            EnumType(name, definitions[name])
            if "enum" in definitions[name]
            else ObjectType(name, definitions[name], enums)
            for name in in_dependency_order(definitions)
        ]
        context = {
            "stem": stem,
            "doc": schema["description"],
            "includes": schema.get("x-includes", []),
            "types": types,
            "variants": schema.get("x-variants", {}),
        }
        for suffix in ("h", "cpp"):
            text = environment.get_template("types.%s.jinja" % suffix).render(**context)
            files["%sTypes.%s" % (capitalized(stem), suffix)] = formatted(text, suffix)
    return files


def formatted(text, suffix):
    command = ["clang-format", "--style=file", "--assume-filename=%s/x.%s" % (OUTPUT_FOLDER, suffix)]
    return subprocess.run(command, input=text, capture_output=True, text=True, check=True).stdout


def main():
    files = render(load_schemas())
    if "--check" in sys.argv[1:]:
        stale = [
            name
            for name, text in files.items()
            if not (OUTPUT_FOLDER / name).exists() or (OUTPUT_FOLDER / name).read_text() != text
        ]
        for name in stale:
            print("src/generated/%s is out of date; run tools/generate_types.py" % name)
        return 1 if stale else 0
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    for name, text in files.items():
        path = OUTPUT_FOLDER / name
        if not path.exists() or path.read_text() != text:
            path.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
