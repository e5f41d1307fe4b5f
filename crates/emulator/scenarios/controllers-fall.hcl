# Controllers crash, freeze, do not hear their machines, and are refused by the state
# service and by each other; then all restart one after the other.
name = "controllers-fall"
base = "site.hcl"
duration_s = 55

fault "crash" {
  kind = "controller_kill"
  at_s = 8
  controller = 0
}

fault "freeze" {
  kind = "controller_freeze"
  at_s = 13
  for_s = 8
  controller = 1
}

fault "deaf" {
  kind = "controller_deaf"
  at_s = 20
  for_s = 12
  controller = 2
}

fault "refuse" {
  kind = "store_refuse"
  at_s = 24
  for_s = 15
  controller = 0
}

fault "peers" {
  kind = "peers_refused"
  at_s = 28
  for_s = 8
}

fault "rolling" {
  kind = "rolling"
  at_s = 45
}
