# 2,000 machines and about 50,000 tasks. Not in the suite.
name = "large"
duration_s = 150
settle_s = 120
zones = ["hall-a", "hall-b"]

controllers {
  count = 3
  ram_mb = 188
  core_share = 0.264
}

workers {
  report_s = 3
  lease_s = 18
  cancel_s = 48
}

state {
  rps = 2000
  write_rps = 600
}

machine_type "small" {
  cpus = 4
  memory_gb = 16
  cache_gb = 40
  fetch_gb_per_s = 1.5
  hourly = 0.15
  spot_hourly = 0.05
  boot_s = 5
  ordinary = 1050
  up = 1000
}

team "intake" {}

team "preparers" {}

load "portal" {
  kind = "service"
  team = "intake"
  urgency = "urgent"
  initial = 100
  per_minute = 60
  tasks = { values = [1, 2, 4] }
  run_s = { lognormal = { median = 60, p95 = 120, max = 150 } }
  cpus = 1
  memory_gb = 2
  image_gb = 0.8
  start_within_s = 8
}

load "return-assembly" {
  kind = "array"
  team = "preparers"
  initial = 40
  per_minute = 215
  tasks = { lognormal = { median = 85, p95 = 200, max = 400 } }
  run_s = { lognormal = { median = 12, p95 = 30, max = 45 } }
  cpus = 1
  memory_gb = 3
  image_gb = 0.6
  images = 2
}

fault "machines-die" {
  kind = "die"
  at_s = 60
  count = 20
}

fault "controller-killed" {
  kind = "controller_kill"
  at_s = 90
  controller = 1
}
