// Package scenario runs testscript files against real processes of the system.
// Each VM of a script is a loopback address in a /24 network that no other script
// on the machine uses. The variables $VM1 to $VM60 hold the addresses. The codes
// I1 to I7 and F1 to F10 in scripts are those of docs/invariants.md.
//
// In addition to the commands of testscript, scripts have the following ones. A
// leading "!" expects the check to fail. TIMEOUT is a duration such as 5s.
//
//	proc start NAME PROGRAM [FLAG...]    start a program of this repository
//	proc stop NAME [TIMEOUT]             SIGTERM; it must exit with code 0 within TIMEOUT (default 15s)
//	proc terminate NAME                  SIGTERM, without waiting for the exit
//	proc kill NAME                       SIGKILL
//	proc freeze NAME | proc thaw NAME    SIGSTOP | SIGCONT
//	proc restart NAME                    start it again with the same flags
//	proc keep NAME                       restart it whenever it exits unless the script stops it
//	proc memory NAME MEGABYTES           fail if it has used more memory since its start
//	proc exits NAME CODE TIMEOUT         the process exits by itself with CODE
//	proc wipe NAME                       remove $WORK/data/NAME
//	relay start NAME LISTEN TARGET       forward TCP and UDP from LISTEN to TARGET
//	relay cut NAME to|from|both [IP]     drop a direction, for all clients or for one IP address
//	relay heal NAME                      end all cuts
//	relay delay NAME to|from|both DELAY  delay each direction
//	relay silence NAME                   open connections carry no more data, new ones work
//	relay break NAME                     close all connections
//	load run NAME [FLAG...]              run godwithub-load and wait until it exits
//	load paced NAME LIMIT [FLAG...]      run it, and repeat it while runs at upstreams take
//	                                     longer than LIMIT on average, which shows that
//	                                     the machine pauses processes
//	load start NAME [FLAG...]            run it in the background
//	load wait NAME [TIMEOUT]             wait until it exits
//	report NAME PATH OP NUMBER           compare a number in the JSON report of a load
//	fault NAME JSON|none|drain|undrain   set the faults of a stand-in upstream, or drain it
//	runs max N [FILTER...]               no work id and no idempotency key ran more than N times
//	runs count OP N [FILTER...]          number of runs
//	runs not-run LOAD...                 no attempt reported as not run has run
//	runs answered LOAD...                the work of every answered request has finished a run
//	runs unanswered OP N LOAD            number of unanswered attempts whose work has run
//	runs given-up LOAD...                no attempt whose work ran ended without the upstream's answer,
//	                                     unless its deadline had passed
//	runs after-drain NAME GRACE          no request arrives later than GRACE after the drain
//	waitfor TIMEOUT http URL STATUS [TEXT]
//	                                     the response to a GET has STATUS and contains TEXT
//	waitfor TIMEOUT json URL PATH OP VALUE
//	                                     a value in a JSON document compares as given
//	waitfor TIMEOUT log NAME REGEXP      a line in the log of a process matches
//	waitfor TIMEOUT cmd PROGRAM [ARG...] a command succeeds
//	fleet ...                            see fleet.go
//	group ...                            see group.go
//	customer ...                         see customers.go
//
// FILTER is path=PREFIX, upstream=ID or result=RESULT. OP is one of == != < <=
// > >=. PATH is a list of names joined by dots; an element of an array is named by
// its index, or by its field kind, id or name.
//
// A run is one execution of a request by a stand-in upstream, as recorded in the run log
// of package standin. The load generator gives each request a work id, which all attempts
// at the request share.
//
// All processes are killed when the script ends. If it has failed, their logs are
// shown.
package scenario
