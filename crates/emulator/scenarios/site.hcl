# The site and the load that most scenarios of the suite are based on.
duration_s = 40
settle_s = 100
zones = ["hall-a", "hall-b"]

controllers {
  restart_s = 2
}

machine_type "small" {
  cpus = 4
  memory_gb = 16
  cache_gb = 40
  fetch_gb_per_s = 1.5
  hourly = 0.15
  spot_hourly = 0.05
  boot_s = 3
  ordinary = 15
  spot = 15
  up = 3
}

team "intake" {}

team "preparers" {
  cpus_max = 80
}

load "portal" {
  kind = "service"
  team = "intake"
  urgency = "urgent"
  initial = 4
  per_minute = 12
  tasks = { values = [1, 2] }
  run_s = { lognormal = { median = 25, p95 = 40, max = 50 } }
  cpus = 1
  memory_gb = 2
  image_gb = 0.8
  start_within_s = 5
}

load "return-assembly" {
  kind = "array"
  team = "preparers"
  initial = 3
  per_minute = 25
  tasks = { lognormal = { median = 8, p95 = 25, max = 40 } }
  run_s = { lognormal = { median = 3, p95 = 8, max = 12 } }
  cpus = 1
  memory_gb = 3
  image_gb = 0.6
  images = 2
  spot = true
  withdrawn = 0.1
}

load "settlement" {
  kind = "gang"
  team = "preparers"
  per_minute = 4
  tasks = { values = [2, 4] }
  run_s = { uniform = [4, 10] }
  cpus = 1
  memory_gb = 2
  image_gb = 0.5
  one_zone = true
  checkpoint_s = 3
  save_s = 0.5
}
