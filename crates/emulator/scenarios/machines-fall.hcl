# Machines die, hang, lose the network, fail all their tasks, run slowly and are
# preempted.
name = "machines-fall"
base = "site.hcl"

fault "die" {
  kind = "die"
  at_s = 10
  count = 3
}

fault "hang" {
  kind = "machines_hang"
  at_s = 14
  for_s = 6
  count = 2
}

fault "hang-long" {
  kind = "machines_hang"
  at_s = 16
  for_s = 25
  count = 2
}

fault "cut" {
  kind = "machines_cut"
  at_s = 18
  for_s = 15
  count = 3
}

fault "sick" {
  kind = "machines_sick"
  at_s = 20
  for_s = 10
  count = 2
}

fault "recall" {
  kind = "recall"
  at_s = 24
  count = 4
}

fault "slow" {
  kind = "machines_slow"
  at_s = 5
  for_s = 20
  count = 3
  factor = 4
}
