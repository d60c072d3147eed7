package yuccaplat_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"yuccacleat/io/yuccaplat"
)

// service is a small fake of the platform's service.
type service struct {
	mutex    sync.Mutex
	changed  chan struct{}
	revision yuccaplat.Revision
	entries  []yuccaplat.Entry
	perPage  int
	answers  []int // statuses to answer with before all is well
	raw      string
	asked    []string
}

func newService() (*service, string) {
	svc := &service{changed: make(chan struct{}), perPage: 100}
	server := httptest.NewServer(svc)
	DeferCleanup(server.Close)
	return svc, server.URL
}

// lock runs one step on the service and wakes what waits on it.
func (svc *service) lock(step func()) {
	svc.mutex.Lock()
	defer svc.mutex.Unlock()
	step()
	close(svc.changed)
	svc.changed = make(chan struct{})
}

func (svc *service) put(key, value string) {
	svc.lock(func() {
		svc.revision++
		svc.entries = append(svc.entries, yuccaplat.Entry{Key: key, Value: []byte(value), Revision: svc.revision})
	})
}

func (svc *service) calls() []string {
	svc.mutex.Lock()
	defer svc.mutex.Unlock()
	return append([]string(nil), svc.asked...)
}

// begin counts a call and returns the failure that it shall meet, if any.
func (svc *service) begin(request *http.Request) (status int, raw string) {
	svc.mutex.Lock()
	defer svc.mutex.Unlock()
	svc.asked = append(svc.asked, request.URL.String())
	if len(svc.answers) == 0 {
		return http.StatusOK, svc.raw
	}
	status, svc.answers = svc.answers[0], svc.answers[1:]
	return status, svc.raw
}

func (svc *service) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	status, raw := svc.begin(request)
	switch path := request.URL.Path; {
	case status != http.StatusOK:
		answer.WriteHeader(status)
	case raw != "":
		answer.Write([]byte(raw))
	case path == "/v1/keys":
		json.NewEncoder(answer).Encode(svc.watch(request))
	case path == "/v1/vms":
		answer.Write([]byte(`{"vms":[{"vm":"entry-1","centre":"east","address":"10.0.0.11:7000","kind":"entry","state":"leaving","rack":7}]}`))
	default:
		svc.get(answer, strings.TrimPrefix(path, "/v1/keys/"))
	}
}

func (svc *service) get(answer http.ResponseWriter, key string) {
	svc.mutex.Lock()
	defer svc.mutex.Unlock()
	at := slices.IndexFunc(svc.entries, func(entry yuccaplat.Entry) bool { return entry.Key == key })
	if at < 0 {
		answer.WriteHeader(http.StatusNotFound)
		return
	}
	answer.Header().Set("X-Revision", strconv.FormatUint(uint64(svc.entries[at].Revision), 10))
	answer.Write(svc.entries[at].Value)
}

func (svc *service) watch(request *http.Request) yuccaplat.Page {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMillis"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page, changed := svc.page(query.Get("prefix"), yuccaplat.Revision(after))
		if len(page.Entries) > 0 {
			return page
		}
		select {
		case <-changed:
		case <-timeout:
			return page
		case <-request.Context().Done():
			return page
		}
	}
}

func (svc *service) page(prefix string, after yuccaplat.Revision) (yuccaplat.Page, <-chan struct{}) {
	svc.mutex.Lock()
	defer svc.mutex.Unlock()
	page := yuccaplat.Page{Revision: svc.revision}
	for _, entry := range svc.entries {
		if entry.Revision <= after || !strings.HasPrefix(entry.Key, prefix) {
			continue
		}
		if len(page.Entries) == svc.perPage {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, entry)
	}
	return page, svc.changed
}
