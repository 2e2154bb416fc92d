// Package scenario runs testscript files against real processes of the
// system. Each VM of a script is one loopback address of a /24 network that no
// other script on the machine uses; $VM1 to $VM60 hold the addresses.
//
// Beside testscript's own commands, scripts have these. A leading "!" expects
// the check to fail. BOUND is a duration such as 5s.
//
//	proc start NAME PROGRAM [FLAG...]    start a program of this repository
//	proc stop NAME [BOUND]               SIGTERM, exit code 0 within BOUND (15 s)
//	proc kill NAME                       SIGKILL
//	proc freeze NAME | proc thaw NAME    SIGSTOP | SIGCONT
//	proc restart NAME                    start again as before
//	proc keep NAME                       start again whenever it ends by itself
//	proc exits NAME CODE BOUND           the process ends by itself
//	proc wipe NAME                       remove $WORK/data/NAME
//	relay start NAME LISTEN TARGET       forward TCP and UDP
//	relay cut NAME to|from|both [IP]     drop one direction, for one client IP only if given
//	relay heal NAME                      end all cuts
//	relay delay NAME to|from|both D      delay by D each way
//	relay silence NAME                   open connections stay silent for good, new ones work
//	relay break NAME                     close all connections
//	load run NAME [FLAG...]              run godwithub-load to its end
//	load paced NAME LIMIT [FLAG...]      run it, and again while runs at upstreams take
//	                                     over LIMIT on average: then the machine pauses
//	load start NAME [FLAG...]            run it beside the script
//	load wait NAME [BOUND]               wait for its end
//	report NAME PATH OP NUMBER           compare a figure of a load's JSON report
//	fault NAME JSON|none|drain|undrain   set the faults of a stand-in
//	runs max N [FILTER...]               no work id and no key ran more than N times
//	runs count OP N [FILTER...]          number of runs
//	runs not-run LOAD...                 no attempt reported as not-run has run
//	runs answered LOAD...                every answered work has ended a run
//	runs unanswered OP N LOAD            number of attempts that ran but were not answered
//	runs after-drain NAME BOUND          no run starts later than BOUND after the drain
//	waitfor BOUND http URL STATUS [TEXT] a GET has the status and contains the text
//	waitfor BOUND json URL PATH OP VALUE a figure or text of a JSON document
//	waitfor BOUND log NAME REGEXP        a line in the log of a process or load
//	waitfor BOUND cmd PROGRAM [ARG...]   a command succeeds
//	fleet ...                            see fleet.go
//	group ...                            see group.go
//
// FILTER is path=PREFIX, upstream=ID or result=RESULT. OP is one of == != < <=
// > >=. PATH joins names by dots; an element of an array is named by its
// index, or by its kind, id or name field.
//
// All processes end with the script. When a script fails, their logs are shown.
package scenario
