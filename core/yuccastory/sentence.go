package yuccastory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// common are the fields that every line has and no sentence repeats.
var common = map[string]bool{"at": true, "vm": true, "event": true, "request": true, "level": true, "account": true, "route": true}

// sentence tells one line in words. A kind of line that it doesn't know is given with its
// fields.
func sentence(line *Line) string {
	switch line.Event {
	case "sent":
		text := fmt.Sprintf("sent to %s (sending %s) after %s ms; %s expected the first event in %s ms, %s runs were there",
			line.text("target"), line.text("send"), line.text("waitedMillis"), decider(line), line.text("expectMillis"), line.text("busy"))
		text += heldParts(line)
		return text + fmt.Sprintf("; configuration %s, the platform's word %s ms old", line.text("number"), line.text("newsAgeMillis"))
	case "unanswered":
		return fmt.Sprintf("%s gave no answer (sending %s): %s", line.text("target"), line.text("send"), line.text("error"))
	case "again":
		may := "may not"
		if line.text("may") == "true" {
			may = "may"
		}
		return fmt.Sprintf("after the outcome %s it %s be sent again (%s; sent %s times, ran %s times)",
			line.text("outcome"), may, line.text("why"), line.text("sends"), line.text("runs"))
	case "quota":
		return quota(line)
	case "answered":
		text := fmt.Sprintf("%s answered %s: %s, first event after %s ms, %s events, longest pause %s ms",
			line.text("target"), line.text("status"), line.text("outcome"), line.text("firstMillis"), line.text("events"), line.text("pauseMillis"))
		if cause := line.text("cause"); cause != "" {
			text += "; " + cause
		}
		return text
	case "refused":
		return refused(line)
	case "belief", "dependency":
		return strings.TrimSpace(line.text("what")+" "+line.text("state")) + fields(line, "what", "state")
	}
	return line.Event + fields(line)
}

func decider(line *Line) string {
	if line.text("alone") == "true" {
		return "this daemon alone"
	}
	return "leader " + line.text("leader")
}

// heldParts tells how much of the prompt the target was expected to hold, or to fetch from another one.
func heldParts(line *Line) string {
	if line.number("parts") == 0 {
		return ""
	}
	text := fmt.Sprintf("; it was expected to hold %s of %s prompt tokens", line.text("held"), line.text("prompt"))
	if from := line.text("fetchFrom"); from != "" {
		text += ", and to fetch more from " + from
	}
	return text
}

func quota(line *Line) string {
	leader := accountLeader(line)
	decidedBy, where := "", "here"
	if leader != "" {
		decidedBy, where = " (decided by "+leader+")", "there"
	}
	text := fmt.Sprintf("the quota of account %s%s said %s: it cost %s, %s of %s were used, %s of them %s",
		line.text("account"), decidedBy, line.text("verdict"), line.text("cost"), line.text("used"), line.text("limit"), line.text("mine"), where)
	if line.number("rush") > 0 {
		text += fmt.Sprintf("; since all was forgotten it asked for %s, and for %s at most if it keeps to its quota", line.text("asked"), line.text("rush"))
	}
	if leader != "" {
		return text
	}
	return text + fmt.Sprintf("; this daemon used %s of the quotas, %s daemons share them", line.text("part"), line.text("daemons"))
}

// accountLeader returns the daemon that decided on the account's quota, empty if it was this one.
func accountLeader(line *Line) string {
	if leader := line.text("leader"); leader != line.VM {
		return leader
	}
	return ""
}

func refused(line *Line) string {
	text := fmt.Sprintf("answered %s by the daemon itself: %s", line.text("status"), line.text("kind"))
	if detail := line.text("detail"); detail != "" {
		text += " (" + detail + ")"
	}
	if line.text("leader") != "" {
		text += fmt.Sprintf("; leader %s had %s waiting and %s places free, the wait would have been %s ms",
			line.text("leader"), line.text("waiting"), line.text("free"), line.text("waitMillis"))
	}
	if back := line.number("backMillis"); back > 0 {
		text += fmt.Sprintf("; told to come back after %d ms", back)
	}
	return text
}

// fields lists a line's own fields but for some.
func fields(line *Line, but ...string) string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if !common[name] && !slices.Contains(but, name) {
			fmt.Fprintf(&out, " %s=%s", name, line.text(name))
		}
	}
	return out.String()
}

// outcome says in a few words how the request ended, by the last line that ends one.
func outcome(lines []Line) string {
	for _, line := range slices.Backward(lines) {
		switch line.Event {
		case "answered":
			return answeredOutcome(&line)
		case "refused":
			return refusedOutcome(line.text("status"))
		}
	}
	return "the logs don't tell: the daemon ended, or its last lines are missing"
}

func answeredOutcome(line *Line) string {
	switch line.text("outcome") {
	case "served":
		return "its caller got the target's whole answer, status " + line.text("status")
	case "dropped":
		return "its caller left before the end"
	case "broken":
		return "its caller got a part of the answer and a closed connection"
	}
	return "its caller got the target's own failure, status " + line.text("status")
}

func refusedOutcome(status string) string {
	switch status {
	case "429", "503", "408", "421":
		return "it did not run and will not; its caller was told so"
	case "502", "504":
		return "it may have run; its caller was told no more than that"
	}
	return "it was not allowed, and did not run"
}
