# Commands that machines carried out and answered arrive there once more, also after a controller
# was killed and started again within a second, and after machines are on preemption notice.
name = "commands-again"
base = "site.hcl"

fault "again" {
  kind = "commands_again"
  at_s = 2
  for_s = 35
  late_s = 12
}

fault "recall" {
  kind = "recall"
  at_s = 12
  count = 4
}

fault "kill" {
  kind = "controller_kill"
  at_s = 16
  count = 3
  late_s = 4
  restart_s = 0.3
}
