# Killed controllers restart within 50 to 200 ms, with 400 machines: one of them in a
# loop, all of them three times within seconds, all of them during an outage of the
# state service, and one after the other.
name = "quick-restarts"
base = "site.hcl"
duration_s = 70
settle_s = 80

controllers {
  count = 5
  restart_s = 0.2
  ram_mb = 188
}

workers {
  report_s = 3
  lease_s = 18
  cancel_s = 48
}

state {
  rps = 500
  write_rps = 150
}

machine_type "small" {
  ordinary = 430
  up = 400
}

load "portal" {
  initial = 120
  per_minute = 60
  run_s = { lognormal = { median = 200, p95 = 300, max = 300 } }
}

load "return-assembly" {
  initial = 20
  per_minute = 60
  withdrawn = 0.02
}

team "preparers" {
  cpus_max = 1200
}

fault "loop" {
  kind = "controller_kill"
  at_s = 12
  controller = 1
  count = 16
  late_s = 0.5
  restart_s = 0.05
}

fault "all-again-and-again" {
  kind = "controller_kill"
  at_s = 28
  count = 3
  late_s = 3
  restart_s = 0.05
}

fault "outage" {
  kind = "store_outage"
  at_s = 42
  for_s = 8
}

fault "all-in-the-outage" {
  kind = "controller_kill"
  at_s = 45
  count = 2
  late_s = 2
}

fault "rolling" {
  kind = "rolling"
  at_s = 58
  late_s = 2
}
