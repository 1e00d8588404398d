#include "control/EvacuationService.h"

#include "state/BuildValue.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>

namespace magnoliadrum {

EvacuationService::EvacuationService(ControlContext& aContext, const EvacuationDriver& aDriver)
  : RequestHandler(aContext)
  , mDriver(aDriver)
{
}

bool
EvacuationService::isKnown(const std::string& aDataCentre) const
{
  const auto contains = [&aDataCentre](const std::vector<std::string>& aNames) {
    return std::find(aNames.begin(), aNames.end(), aDataCentre) != aNames.end();
  };
  const ControlState& state = mContext.mState;
  if (mContext.mSettings.dataCentre() == aDataCentre ||
      contains(mContext.mSettings.dataCentres()) || mDriver.hasWorkerIn(aDataCentre) ||
      state.sessions().evacuated().contains(aDataCentre)) {
    return true;
  }
  const std::map<std::int64_t, SessionRecord>& sessions = state.sessions().all();
  const bool hasTarget =
    std::any_of(sessions.begin(), sessions.end(), [&aDataCentre](const auto& aItem) {
      return aItem.second.target() && aItem.second.target()->dataCentre() == aDataCentre;
    });
  const std::map<std::string, CatalogueRecord>& records = state.catalogue().records();
  return hasTarget || std::any_of(records.begin(), records.end(), [&contains](const auto& aItem) {
           return aItem.second.entry() && contains(aItem.second.entry()->dataCentres());
         });
}

void
EvacuationService::onRequest(ConnectionId aConnection, const EvacuationRequest& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  if (!isKnown(aRequest.dataCentre())) {
    fail(origin,
         Error::create(ErrorCode::eNotFound,
                       "evacuation.set",
                       origin.mRequestId,
                       "data centre " + aRequest.dataCentre() +
                         " is not known: no settings, catalogue entry, target or worker names it"));
    return;
  }
  const SetEvacuation command = buildValue<SetEvacuation>(
    { .dataCentre = aRequest.dataCentre(), .evacuated = aRequest.evacuated() });
  propose(origin, command, [this, origin](const Outcome& aOutcome) {
    answer(origin, std::get<EvacuationSet>(aOutcome).mChanged);
  });
}

void
EvacuationService::onRequest(ConnectionId aConnection, const EvacuationQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (checkLeadership(origin)) {
    answer(origin, false);
  }
}

void
EvacuationService::answer(const RequestOrigin& aOrigin, bool aIsChanged)
{
  EvacuationListing::Fields listing{ .requestId = aOrigin.mRequestId, .changed = aIsChanged };
  for (const std::string& dataCentre : mContext.mState.sessions().evacuated()) {
    listing.evacuated.push_back(mDriver.statusOf(dataCentre));
  }
  mContext.mMessageSender.send(aOrigin.mConnection,
                               buildValue<EvacuationListing>(std::move(listing)));
}

} // namespace magnoliadrum
