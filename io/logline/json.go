package logline

import (
	"encoding/json"
)

// jsonText is a value of any JSON type as the text that logfmt would have.
type jsonText string

// UnmarshalJSON takes strings without their quotation marks, null as no text, and other values as they
// are.
func (t *jsonText) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	if data[0] != '"' {
		*t = jsonText(data)
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*t = jsonText(text)
	return nil
}

// jsonHead holds the fields of the head of a JSON line.
type jsonHead struct {
	Time    jsonText `json:"time"`
	Level   jsonText `json:"level"`
	Message jsonText `json:"msg"`
	Node    jsonText `json:"node"`
	Epoch   jsonText `json:"epoch"`
}

// jsonLine holds the fields of a JSON line.
type jsonLine struct {
	Request  jsonText `json:"request"`
	Workflow jsonText `json:"workflow"`
	Task     jsonText `json:"task"`
	Step     jsonText `json:"step"`
	Target   jsonText `json:"target"`
	Run      jsonText `json:"run"`
	Reason   jsonText `json:"reason"`
	Count    jsonText `json:"count"`
	Age      jsonText `json:"age"`
	Team     jsonText `json:"team"`
	Queue    jsonText `json:"queue"`
	Result   jsonText `json:"result"`
	Version  jsonText `json:"version"`
	StoreAge jsonText `json:"store-age"`
	State    jsonText `json:"state"`
	Member   jsonText `json:"member"`
	Err      jsonText `json:"err"`
}

// decodeJSON decodes a line in JSON.
func decodeJSON(line []byte, into *fields, extent extent) result {
	var head jsonHead
	if err := json.Unmarshal(line, &head); err != nil {
		return resultTruncated
	}
	if head.Time == "" && head.Level == "" && head.Node == "" {
		return resultOther
	}
	if !into.setJSONHead(head) || head.Message == "" {
		return resultTruncated
	}
	if extent == allFields && !into.setJSONRest(line) {
		return resultTruncated
	}
	return resultRecord
}

func (f *fields) setJSONHead(head jsonHead) bool {
	f.message, f.node = []byte(head.Message), []byte(head.Node)
	return f.setTime(string(head.Time)) && (head.Epoch == "" || f.setHead("epoch", []byte(head.Epoch)))
}

func (f *fields) setJSONRest(line []byte) bool {
	var l jsonLine
	if err := json.Unmarshal(line, &l); err != nil {
		return false
	}
	for _, field := range []struct {
		key   string
		value jsonText
	}{
		{"request", l.Request}, {"workflow", l.Workflow}, {"task", l.Task}, {"step", l.Step}, {"target", l.Target},
		{"run", l.Run}, {"reason", l.Reason}, {"count", l.Count}, {"age", l.Age}, {"team", l.Team},
		{"queue", l.Queue}, {"result", l.Result}, {"version", l.Version}, {"store-age", l.StoreAge},
		{"state", l.State}, {"member", l.Member}, {"err", l.Err},
	} {
		if field.value != "" && !f.setRest(field.key, string(field.value)) {
			return false
		}
	}
	return true
}
