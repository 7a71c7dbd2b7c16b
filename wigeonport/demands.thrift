// Demand of the services, from the entries to the leader.

struct ServiceDemand {
  1: required string service_id
  2: required i64 running
  3: required i64 queued
}

struct DemandReport {
  1: required string node_id
  2: required list<ServiceDemand> demands
}
