# 1.5 times the machines and tasks of `large`, with controllers that restart within
# 0.2 s. Not in the suite.
name = "large-half-again"
base = "large.hcl"

controllers {
  restart_s = 0.2
}

machine_type "small" {
  ordinary = 1575
  up = 1500
}

load "portal" {
  initial = 150
  per_minute = 90
}

load "return-assembly" {
  initial = 60
  per_minute = 322
}

fault "all-killed" {
  kind = "controller_kill"
  at_s = 110
  count = 2
  late_s = 3
}
