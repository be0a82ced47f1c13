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
	journal   *prometheus.HistogramVec
	attempts  *prometheus.HistogramVec
	batches   *prometheus.HistogramVec
	waits     *prometheus.HistogramVec
	questions *prometheus.HistogramVec
}

// New returns a registry with the counters that the gateway feeds.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.requests = m.counts("requests_total", "Final answers by route, HTTP status and outcome.", "route", "status", "outcome")
	m.latency = m.times("request_seconds", "Time from a request's arrival to the end of its answer.", "route")
	m.samples = m.counts("samples_delivered_total", "Samples handed to trainers, a repeated pull counted again.", "trainer")
	m.journal = m.times("journal_call_seconds", "Time of calls to the journal by kind and outcome.", "call", "outcome")
	m.attempts = m.times("attempt_seconds",
		"Time of offers of requests and items to replicas by service and outcome.", "service", "outcome")
	m.batches = m.times("batch_part_seconds",
		"Where the time of the item went that each batch listed last, by part.", "part")
	m.waits = m.times("admission_wait_seconds",
		"Time that plain requests waited for a place at a full service, by service and how they went on.", "service", "outcome")
	m.questions = m.times("question_seconds",
		"Time of questions about batches beyond the time that they were held on purpose, by the way of the answer and by outcome.",
		"way", "outcome")
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

// Request counts a final answer.
func (m *Metrics) Request(route, status, outcome string, took time.Duration) {
	m.requests.WithLabelValues(route, status, outcome).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// JournalCall counts a call to the journal.
func (m *Metrics) JournalCall(call, outcome string, took time.Duration) {
	m.journal.WithLabelValues(call, outcome).Observe(took.Seconds())
}

// Attempt counts an offer of a request or an item to a replica.
func (m *Metrics) Attempt(service, outcome string, took time.Duration) {
	m.attempts.WithLabelValues(service, outcome).Observe(took.Seconds())
}

// Admission counts how the wait of a request for a place at a service ended.
func (m *Metrics) Admission(service, outcome string, waited time.Duration) {
	m.waits.WithLabelValues(service, outcome).Observe(waited.Seconds())
}

// Question counts how a question about a batch was answered.
func (m *Metrics) Question(way string, answered bool, took time.Duration) {
	outcome := "answered"
	if !answered {
		outcome = "refused"
	}
	m.questions.WithLabelValues(way, outcome).Observe(took.Seconds())
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
