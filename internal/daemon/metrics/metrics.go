// Package metrics holds the daemon's metrics in the Prometheus format.
//
// Names, labels and the values of labels are what dashboards and alerts go by: they stay as
// they are. Times are in seconds.
//
// # Usage
//
//	registry := metrics.New()
//	registry.Request("lookups", "200", "answered", 12*time.Millisecond)
//	metrics.Gauge(registry, "batches_owned", "Batches that this daemon runs.", read)
//	http.Handle("/metrics", registry.Handler())
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "woodworks"

// latencyBuckets are in seconds.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// Metrics is one daemon's registry. It is safe for concurrent use.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	samples   *prometheus.CounterVec
	batches   *prometheus.HistogramVec
	questions func(way, outcome string, took time.Duration)

	// JournalCall counts a call to the journal by its kind, Attempt an offer of a request or an
	// item to a replica and Admission the end of a request's wait for a place by service.
	JournalCall, Attempt, Admission func(of, outcome string, took time.Duration)
}

// New returns a registry with the counters that the gateway feeds.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.requests = m.counts("requests_total", "Final answers by route, HTTP status and outcome.", "route", "status", "outcome")
	m.latency = m.times("request_seconds", "Time from a request's arrival to the end of its answer.", "route")
	m.samples = m.counts("samples_delivered_total", "Samples handed to trainers, a repeated pull counted again.", "trainer")
	m.JournalCall = m.timesByOutcome("journal_call_seconds", "Time of calls to the journal by kind and outcome.", "call")
	m.Attempt = m.timesByOutcome("attempt_seconds",
		"Time of offers of requests and items to replicas by service and outcome.", "service")
	m.batches = m.times("batch_part_seconds",
		"Where the time of the item went that each batch listed last, by part.", "part")
	m.Admission = m.timesByOutcome("admission_wait_seconds",
		"Time that plain requests waited for a place at a full service, by service and how they went on.", "service")
	m.questions = m.timesByOutcome("question_seconds",
		"Time of questions about batches beyond the time that they were held on purpose, by the way of the answer and by outcome.",
		"way")
	return m
}

// counts registers totals by labels.
func (m *Metrics) counts(name, help string, labels ...string) *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(counter)
	return counter
}

// times registers times in seconds by labels.
func (m *Metrics) times(name, help string, labels ...string) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}
	histogram := prometheus.NewHistogramVec(opts, labels)
	m.registry.MustRegister(histogram)
	return histogram
}

// timesByOutcome registers times by a label and by outcome, and returns what counts one.
func (m *Metrics) timesByOutcome(name, help, label string) func(of, outcome string, took time.Duration) {
	histogram := m.times(name, help, label, "outcome")
	return func(of, outcome string, took time.Duration) {
		histogram.WithLabelValues(of, outcome).Observe(took.Seconds())
	}
}

// Request counts a final answer.
func (m *Metrics) Request(route, status, outcome string, took time.Duration) {
	m.requests.WithLabelValues(route, status, outcome).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// Question counts how a question about a batch was answered.
func (m *Metrics) Question(way string, answered bool, took time.Duration) {
	outcome := "answered"
	if !answered {
		outcome = "refused"
	}
	m.questions(way, outcome, took)
}

// BatchPart counts a part of the time of the item that a batch listed last.
func (m *Metrics) BatchPart(part string, took time.Duration) {
	m.batches.WithLabelValues(part).Observe(took.Seconds())
}

// Delivered counts samples handed to a trainer.
func (m *Metrics) Delivered(trainer string, samples int) {
	m.samples.WithLabelValues(trainer).Add(float64(samples))
}

// Number is what a metric may be read as.
type Number interface{ int | int64 | uint64 | float64 }

// Gauge registers a value that is read when the metrics are.
func Gauge[N Number](m *Metrics, name, help string, read func() N) {
	opts := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return float64(read()) }))
}

// Counter registers a total that is read when the metrics are.
func Counter[N Number](m *Metrics, name, help string, read func() N) {
	opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(read()) }))
}

// Handler answers with all metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
