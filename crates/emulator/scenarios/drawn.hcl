# Random faults, chosen by the seed.
name = "drawn"
base = "site.hcl"
duration_s = 60
settle_s = 120

draw {
  count = 10
  kinds = ["store_outage", "store_refuse", "store_slow", "store_restart", "write_unanswered", "write_late", "cloud_outage", "boots_late", "boots_cold", "scarce", "recall", "die", "machines_cut", "machines_hang", "machines_sick", "machines_slow", "zone_cut", "controller_kill", "controller_freeze", "controller_deaf", "peers_refused", "rolling"]
  from_s = 5
  to_s = 55
  for_s = { uniform = [2, 12] }
}
