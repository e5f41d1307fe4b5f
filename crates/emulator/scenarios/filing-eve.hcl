# The evening before a filing deadline: machines come up slowly, some never do, and the
# state service answers late.
name = "filing-eve"
duration_s = 40
settle_s = 90
zones = ["hall"]

machine_type "small" {
  cpus = 4
  memory_gb = 16
  cache_gb = 40
  fetch_gb_per_s = 1.5
  hourly = 0.15
  spot_hourly = 0.05
  boot_s = 4
  ordinary = 12
  spot = 12
  up = 3
  cold = 0.1
}

team "intake" {}

team "preparers" {
  cpus_max = 60
}

load "portal" {
  kind = "service"
  team = "intake"
  urgency = "urgent"
  initial = 3
  per_minute = 8
  tasks = { values = [1, 2] }
  run_s = { lognormal = { median = 30, p95 = 60, max = 80 } }
  cpus = 1
  memory_gb = 2
  image_gb = 1
  start_within_s = 5
}

load "return-assembly" {
  kind = "array"
  team = "preparers"
  initial = 2
  per_minute = 10
  tasks = { lognormal = { median = 8, p95 = 25, max = 40 } }
  run_s = { lognormal = { median = 4, p95 = 9, max = 15 } }
  cpus = 1
  memory_gb = 3
  image_gb = 0.8
  images = 2
  spot = true
  withdrawn = 0.05
}

fault "late-store" {
  kind = "store_slow"
  at_s = 8
  for_s = 10
  late_s = 0.6
}

fault "slow-boots" {
  kind = "boots_late"
  at_s = 5
  for_s = 20
  factor = 5
}
