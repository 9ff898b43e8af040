# Checks the answers that callers got against the runs at endpoints.  First
# file: runs, "id method target service"; second: answers, "id method status
# echoed-id key sent_ms".  Refusals of callers above their cap, and of keys that
# were taken away, don't count for the share that is served.
FNR == NR {
	if ($1 != "probe") runs[$1]++
	crashes += $3 == "/once/crash"
	next
}
{
	if ($5 == "-" || $5 == "key-steady") {
		answers++
		served += $3 == 200
	}
	if ($2 == "POST" && runs[$1] > 1)
		violation("order " $1 " ran " runs[$1] " times")
	if ($2 == "POST" && ($3 == 503 || $3 == 429) && runs[$1] > 0)
		violation("order " $1 " was refused with " $3 " and ran")
	if ($3 == 200 && runs[$1] == 0)
		violation($1 " was answered 200 and never ran")
	if ($3 == 200 && $4 != $1)
		violation($1 " got the answer of " $4)
}
# Three crashes, and three retries after them.
BEGIN { CRASHES_MAX = 6 }
function violation(text) { print "VIOLATION " text; failed = 1 }
END {
	print answers " answers, " served " served, " crashes + 0 " endpoints crashed by one request"
	if (crashes > CRASHES_MAX) violation("a request crashed " crashes " endpoints")
	if (served * 2 < answers) violation("less than half was served")
	exit failed
}
