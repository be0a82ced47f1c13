package quarantine

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/golden"
)

// Guards against changes of the stored records and of the messages between daemons.
func TestEncodings(t *testing.T) {
	golden.Service(t, ServiceName, &Service{})
	golden.Gob[Told](t, "told")
	golden.CBOR[Entry](t, "entry")
	golden.JSON[ListedContent](t, "listing")
	golden.JSON[problem](t, "problem")
	golden.JSON[Lifted](t, "lifted")
	content := &Content{Caller: "caller", Method: "POST", Host: "host", Target: "/target?query", Body: []byte("body")}
	golden.Text(t, "names.txt", fmt.Sprintln(tellMethod, Path, Partition, content.Digest()))
}

// Guards against changes of the responses of the operator endpoint.
func TestOperatorResponses(t *testing.T) {
	now := func() time.Time { return time.UnixMilli(1_700_000_000_000) }
	table := New("machine/1", now, zap.NewNop())
	content := &Content{Method: "GET", Host: "host", Target: "/"}
	table.Merge([]Entry{{Digest: content.Digest(), Epoch: 1, Ended: map[string]int{"replica": 2}, Label: labelOf(content, "service")}}, "machine/2")
	var answers strings.Builder
	for _, call := range []string{"GET " + Path, "PUT " + Path, "DELETE " + Path + "/short", "DELETE " + Path + "/" + Digest{}.String(), "DELETE " + Path + "/" + content.Digest().String()} {
		method, target, _ := strings.Cut(call, " ")
		answer := httptest.NewRecorder()
		Handler(table, zap.NewNop()).ServeHTTP(answer, httptest.NewRequest(method, target, nil))
		header, _ := json.Marshal(answer.Header())
		fmt.Fprintln(&answers, call, answer.Code, string(header))
		fmt.Fprint(&answers, answer.Body)
	}
	golden.Text(t, "answers.txt", answers.String())
}
