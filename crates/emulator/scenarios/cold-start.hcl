# All controllers are killed and restart after most of a lease, with 800 machines, a
# third of them idle; some machines die meanwhile. Not in the suite.
name = "cold-start"
duration_s = 75
settle_s = 60
zones = ["hall-a", "hall-b"]

controllers {
  count = 3
  restart_s = 14
  ram_mb = 188
  core_share = 0.264
}

workers {
  report_s = 3
  lease_s = 18
  cancel_s = 48
}

state {
  rps = 700
  write_rps = 100
}

machine_type "small" {
  cpus = 4
  memory_gb = 16
  cache_gb = 40
  fetch_gb_per_s = 1.5
  hourly = 0.15
  spot_hourly = 0.05
  boot_s = 5
  ordinary = 430
  up = 400
}

team "intake" {}

team "preparers" {}

load "portal" {
  kind = "service"
  team = "intake"
  urgency = "urgent"
  initial = 150
  per_minute = 60
  tasks = { values = [1, 2, 4] }
  run_s = { constant = 200 }
  cpus = 1
  memory_gb = 2
  image_gb = 0.8
  start_within_s = 8
}

load "return-assembly" {
  kind = "array"
  team = "preparers"
  initial = 20
  per_minute = 60
  tasks = { lognormal = { median = 40, p95 = 100, max = 200 } }
  run_s = { lognormal = { median = 12, p95 = 30, max = 45 } }
  cpus = 1
  memory_gb = 3
  image_gb = 0.6
  images = 2
}

fault "all-down" {
  kind = "controller_kill"
  at_s = 30
}

fault "machines-die" {
  kind = "die"
  at_s = 36
  count = 10
}
