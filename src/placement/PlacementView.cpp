#include "placement/PlacementView.h"

namespace magnoliadrum {

TaskView
TaskView::fromRecord(const TaskRecord& aRecord)
{
  TaskView view;
  view.taskId = aRecord.taskId();
  view.entryName = aRecord.entryName();
  view.state = aRecord.state();
  view.epoch = aRecord.epoch();
  view.session = aRecord.session();
  view.checkpoint = aRecord.checkpoint();
  view.attempts = aRecord.attempts();
  view.evictions = aRecord.evictions();
  view.stopRequested = aRecord.stopRequested();
  view.cancelRequested = aRecord.cancelRequested();
  return view;
}

} // namespace magnoliadrum
