package recorder_test

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"celeryhead.dev/celeryhead/recorder"
)

var ada, ben = recorder.Member{Name: "ada", Incarnation: 1, Region: "west", FailureDomain: "west_a"}, recorder.Member{Name: "ben", Incarnation: 1 << 63, Region: "west", FailureDomain: "west_b"}

// Guards against equal members with different encodings, and against members that are lost when a row is encoded and decoded.
func TestMembers(t *testing.T) {
	const want = "ada,1,west,west_a\nben,9223372036854775808,west,west_b\n"
	for _, l := range [][]recorder.Member{{ada, ben}, {ben, ada}} {
		text, err := recorder.EncodeMembers(l)
		if err != nil || string(text) != want {
			t.Fatalf("%q, %v", text, err)
		}
	}
	a := recorder.Assignment{Epoch: 7, Count: 2, Digest: sha256.Sum256([]byte(want)), Members: []recorder.Member{ada, ben}}
	row, err := recorder.Heads{Assignments: map[string]recorder.Assignment{"": a}}.Encode()
	if err != nil || strings.Contains(string(row), "ada") {
		t.Fatalf("%s, %v", row, err)
	}
	h, err := recorder.DecodeHeads(row)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := h.Assignments[""].WithMembers([]byte(want)); err != nil || !reflect.DeepEqual(got, a) {
		t.Errorf("%+v, %v", got, err)
	}
	for _, m := range []recorder.Member{{Name: "ada"}, {Name: "b\nc"}, {Name: "b", Region: "c\r"}} {
		if _, err := recorder.EncodeMembers([]recorder.Member{ada, m}); !errors.Is(err, recorder.ErrInvalidMembers) {
			t.Errorf("%q: error %v", m.Name, err)
		}
	}
}

// Guards against accepting a list that does not match the row, or a list that two programs would encode with different digests.
func TestOtherLists(t *testing.T) {
	for name, text := range map[string]string{
		"order":        "ben,1,west,west_b\nada,1,west,west_a\n",
		"twice":        "ada,1,west,west_a\nada,2,west,west_a\n",
		"fields":       "ada,1,west\nben,1,west\n",
		"incarnation":  "ada,x,west,west_a\nben,1,west,west_b\n",
		"zeros":        "ada,01,west,west_a\nben,1,west,west_b\n",
		"quotes":       "\"ada\",1,west,west_a\nben,1,west,west_b\n",
		"line ends":    "ada,1,west,west_a\r\nben,1,west,west_b\r\n",
		"last line":    "ada,1,west,west_a\nben,1,west,west_b",
		"empty line":   "ada,1,west,west_a\n\nben,1,west,west_b\n",
		"fewer":        "ada,1,west,west_a\n",
		"more":         "ada,1,west,west_a\nben,1,west,west_b\ncy,1,west,west_a\n",
		"nothing":      "",
		"unclosed":     "\"ada",
		"no list text": "\x00",
	} {
		a := recorder.Assignment{Count: 2, Digest: sha256.Sum256([]byte(text))}
		if got, err := a.WithMembers([]byte(text)); !errors.Is(err, recorder.ErrCorrupt) || len(got.Members) > 0 {
			t.Errorf("%s: error %v", name, err)
		}
	}
	text, err := recorder.EncodeMembers([]recorder.Member{ada, ben})
	if err != nil {
		t.Fatal(err)
	}
	a := recorder.Assignment{Count: 2, Digest: sha256.Sum256([]byte("another list"))}
	if got, err := a.WithMembers(text); !errors.Is(err, recorder.ErrCorrupt) || len(got.Members) > 0 {
		t.Errorf("another digest: error %v", err)
	}
}

// Guards against rows that would be decoded as assignments without members.
func TestIncompleteRows(t *testing.T) {
	digest := strings.Repeat("ab", 32)
	for _, a := range []string{
		`{"epoch":1,"count":2}`,
		`{"epoch":1,"digest":"` + digest + `"}`,
		`{"epoch":1,"count":-1,"digest":"` + digest + `"}`,
		`{"epoch":1,"count":1,"digest":"` + digest + `","members":[{"name":"ada"}]}`,
		`{"epoch":1,"count":1,"digest":"abcd"}`,
	} {
		if _, err := recorder.DecodeHeads([]byte(`{"assignments":{"":` + a + `}}`)); !errors.Is(err, recorder.ErrCorrupt) {
			t.Errorf("%s: error %v", a, err)
		}
	}
}

// headsWithoutMemberLists is the row format of program versions without member lists.
type headsWithoutMemberLists struct {
	ConfigVersion uint64          `json:"config_version"`
	ConfigDigest  recorder.Digest `json:"config_digest"`
	Assignments   map[string]struct {
		Epoch   uint64            `json:"epoch"`
		Members []recorder.Member `json:"members"`
	} `json:"assignments"`
	Shifts map[string]recorder.ShiftStep `json:"shifts"`
}

// Guards against rows that program versions without member lists cannot read, and against not reading their rows.
func TestRowsOfEarlierPrograms(t *testing.T) {
	h := recorder.Heads{ConfigVersion: 3, Assignments: map[string]recorder.Assignment{
		"": {Epoch: 7, Members: []recorder.Member{ada, ben}}, "east": {Epoch: 2},
	}}
	row, err := h.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var e headsWithoutMemberLists
	d := json.NewDecoder(strings.NewReader(string(row)))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil || !reflect.DeepEqual(e.Assignments[""].Members, h.Assignments[""].Members) || e.Assignments["east"].Epoch != 2 {
		t.Errorf("%+v, %v", e, err)
	}
	if row, err = json.Marshal(e); err != nil {
		t.Fatal(err)
	}
	if got, err := recorder.DecodeHeads(row); err != nil || !reflect.DeepEqual(got, h) {
		t.Errorf("%+v, %v", got, err)
	}
}
