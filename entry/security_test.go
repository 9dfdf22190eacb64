package entry

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/entry/adminapi"
)

const (
	callerToken   = "caller-token-of-thirty-two-chars-1"
	operatorToken = "operator-token-of-thirty-two-chars"
	sharedToken   = "shared-token-of-thirty-two-chars-3"
)

// startWithTokens starts an entry that requires a token on every listener.
func (b *testbed) startWithTokens(name string) *runningEntry {
	b.t.Helper()
	s := b.settings(name)
	s.Tokens.CallersFile = b.writeFile("callers", "# teams\npaint "+callerToken+"\n")
	s.Tokens.OperatorsFile = b.writeFile("operators", "ola "+operatorToken+"\n")
	s.Tokens.PeersFile = b.writeFile("peers", "peer "+sharedToken+"\n")
	return b.start(s)
}

// admin sends a request to the operators' listener and decodes the reply into
// body. It returns the status.
func (r *runningEntry) admin(method, path, token string, body any) int {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+r.AdminAddr()+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	if body != nil {
		if err := json.NewDecoder(resp.Body).Decode(body); err != nil {
			r.t.Fatal(err)
		}
	}
	return resp.StatusCode
}

func TestTokensAreCheckedAndNeverLogged(t *testing.T) {
	b := newTestbed(t)
	b.addEndpoint("e1", "booking")
	b.publishTeams()
	e := b.startWithTokens("entry-1")
	other := b.startWithTokens("entry-2")
	b.awaitPeers(e, other)
	e.token = "wrong"
	if got := e.do(http.MethodPost, "/v1/job-ids", `{"count":1}`); got.problem(t).Code != callerapi.CodeUnauthorized {
		t.Errorf("status %d with a wrong token", got.status)
	}
	e.token, other.token = callerToken, callerToken
	id := e.newID()
	e.token = "wrong"
	p := e.do(http.MethodPut, "/v1/jobs/"+id+"?wait=10s", jobBody("booking", 1, 1)).problem(t)
	if p.Code != callerapi.CodeUnauthorized || p.Execution != callerapi.NotRun || totalStarts(b) != 0 {
		t.Errorf("problem %+v with a wrong token, %d starts", p, totalStarts(b))
	}
	e.token = callerToken
	id = e.newID()
	other.do(http.MethodPut, "/v1/jobs/"+id+"?wait=10s", jobBody("booking", 1, 1)).answer(t)
	for _, r := range []*runningEntry{e, other} {
		r.stop()
		checkNoSecrets(t, filepath.Join(b.dir, r.settings.Name+".log"), id)
	}
}

// checkNoSecrets fails if the log contains a token, a key or a job ID, with which
// anyone could request the answer of the job.
func checkNoSecrets(t *testing.T, path, id string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), `"msg":"place"`) && !strings.Contains(string(text), `"msg":"route"`) {
		t.Errorf("%s contains no decision", path)
	}
	for _, secret := range []string{callerToken, operatorToken, sharedToken, testKey, id} {
		if strings.Contains(string(text), secret) {
			t.Errorf("%s contains a secret", path)
		}
	}
}

// gauge returns the value of the metric with the given name and labels.
func (r *runningEntry) gauge(name string) string {
	r.t.Helper()
	resp, err := http.Get("http://" + r.AdminAddr() + "/metrics")
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return value
		}
	}
	r.t.Fatalf("no metric %s", name)
	return ""
}

func TestAdminAPIReturnsStatusAndDecisions(t *testing.T) {
	b := newTestbed(t)
	b.addEndpoint("e1", "booking")
	b.publishTeams()
	e := b.startWithTokens("entry-1")
	e.token = callerToken
	e.do(http.MethodPut, "/v1/jobs/"+e.newID()+"?wait=10s", jobBody("booking", 2, 1)).answer(t)
	if status := e.admin(http.MethodGet, "/v1/status", "wrong", nil); status != http.StatusUnauthorized {
		t.Errorf("status %d with an unknown token", status)
	}
	var status adminapi.Status
	if code := e.admin(http.MethodGet, "/v1/status", operatorToken, &status); code != http.StatusOK {
		t.Fatalf("status %d", code)
	}
	if !status.Ready || status.Entry.Name != "entry-1" || len(status.Endpoints) != 1 || status.Configuration.Version == 0 {
		t.Errorf("status %+v", status)
	}
	var decisions adminapi.Decisions
	label := status.Entry.Incarnation + "-1"
	if code := e.admin(http.MethodGet, "/v1/jobs/"+label+"/decisions", operatorToken, &decisions); code != http.StatusOK {
		t.Fatalf("status %d", code)
	}
	if len(decisions.Decisions) != 3 {
		t.Errorf("decisions %+v, want 2 placements and an end", decisions.Decisions)
	}
	if got := e.gauge("lovage_configuration_version"); got != "2" {
		t.Errorf("the metrics show configuration version %s", got)
	}
	if code := e.admin(http.MethodPost, "/v1/stop", operatorToken, nil); code != http.StatusAccepted {
		t.Errorf("status %d", code)
	}
	if err := <-e.result; err != nil {
		t.Errorf("stop: %v", err)
	}
}
