// Health of the VMs, from the leader to the other controls.

struct HealthRequest {
}

struct HealthReply {
  1: required bool known
  2: required list<string> unavailable
  3: required list<string> unheard
}
