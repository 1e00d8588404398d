#include "consensus/ConsensusSimulation_test.h"

namespace magnoliadrum {

std::string
snapshotData(std::size_t aDigest)
{
  std::string data;
  for (int part = 0; part < 10; part++) {
    data += std::to_string(aDigest) + ";";
  }
  return data;
}

ConsensusSettings
testSettings(const std::string& aId)
{
  ConsensusSettings settings;
  settings.replicaId = aId;
  settings.electionTimeoutMs = kElectionTimeoutMs;
  settings.heartbeatMs = 20;
  settings.maxMessageEntries = 8;
  settings.maxUnansweredMessages = 4;
  settings.snapshotChunkBytes = 32;
  settings.retainedEntries = 5;
  settings.maxRetainedEntries = 100;
  settings.maxRetainedBytes = 1000;
  settings.promotionLagEntries = 3;
  return settings;
}

GroupConfiguration
votersNamed(const std::vector<std::string>& aIds)
{
  GroupConfiguration::Fields fields;
  for (const std::string& id : aIds) {
    fields.replicas.push_back(makeChecked<Replica>({ .replicaId = id, .address = id }));
  }
  return makeChecked<GroupConfiguration>(std::move(fields));
}

LogEntry
configurationEntry(const GroupConfiguration& aConfiguration)
{
  return makeChecked<LogEntry>({ .index = 1,
                                 .term = 0,
                                 .kind = LogEntryKind::eConfiguration,
                                 .data = encodeConfiguration(aConfiguration) });
}

} // namespace magnoliadrum
