package records

import (
	"time"

	"woodworks/internal/register"
)

// PrepareRequest carries a Prepare to one run of a daemon.
type PrepareRequest struct {
	To      string
	Message register.Prepare
}

// PrepareReply answers it; Refusal is empty if the key is served.
type PrepareReply struct {
	Refusal string
	Promise register.Promise
}

// AcceptRequest carries an Accept to one run of a daemon.
type AcceptRequest struct {
	To      string
	Message register.Accept
}

// AcceptReply answers it; Refusal is empty if the key is served.
type AcceptReply struct {
	Refusal  string
	Accepted register.Accepted
}

// SealRequest ends the service of a shard in an epoch.
type SealRequest struct {
	To    string
	Shard int
	Epoch uint64
}

// SealReply hands over the shard's records.
type SealReply struct {
	Refusal  string
	Records  []register.Record
	KeysFrom time.Time
}

// ReadyRequest asks which shards a daemon serves.
type ReadyRequest struct{ To string }

// ReadyReply lists them, all in one epoch.
type ReadyReply struct {
	Refusal string
	Epoch   uint64
	Shards  []int
}

const (
	// refusalOtherRun answers a message to an earlier run at this address.
	refusalOtherRun = "records: message is for another run of this daemon"
	// refusalCutOff answers while this daemon cannot confirm that the epoch is
	// still in force.
	refusalCutOff = "records: keeper cannot confirm its configuration"
)

// Handler answers peers' calls.
type Handler struct{ service *Service }

// Handler returns the receiver to register under RPCName.
func (service *Service) Handler() *Handler { return &Handler{service: service} }

func (handler *Handler) refusal(to string) string {
	service := handler.service
	if to != string(service.peers.Self().ID) {
		return refusalOtherRun
	}
	age, confirmed := service.catalog.ConfirmationAge()
	if !confirmed || age > service.confirmBound {
		return refusalCutOff
	}
	return ""
}

// Prepare answers phase one of a proposal.
func (handler *Handler) Prepare(request PrepareRequest, reply *PrepareReply) error {
	if reply.Refusal = handler.refusal(request.To); reply.Refusal != "" {
		return nil
	}
	handler.service.mutex.Lock()
	defer handler.service.mutex.Unlock()
	promise, err := handler.service.acceptor.HandlePrepare(time.Now(), request.Message)
	if err != nil {
		reply.Refusal = err.Error()
	}
	reply.Promise = promise
	return nil
}

// Accept answers phase two of a proposal.
func (handler *Handler) Accept(request AcceptRequest, reply *AcceptReply) error {
	if reply.Refusal = handler.refusal(request.To); reply.Refusal != "" {
		return nil
	}
	handler.service.mutex.Lock()
	defer handler.service.mutex.Unlock()
	accepted, err := handler.service.acceptor.HandleAccept(time.Now(), request.Message)
	if err != nil {
		reply.Refusal = err.Error()
	}
	reply.Accepted = accepted
	return nil
}

// Seal ends the service of a shard in an epoch and hands its records over.
func (handler *Handler) Seal(request SealRequest, reply *SealReply) error {
	if request.To != string(handler.service.peers.Self().ID) {
		reply.Refusal = refusalOtherRun
		return nil
	}
	handler.service.mutex.Lock()
	defer handler.service.mutex.Unlock()
	records, keysFrom, err := handler.service.acceptor.Seal(request.Shard, request.Epoch)
	if err != nil {
		reply.Refusal = err.Error()
		return nil
	}
	reply.Records = records
	reply.KeysFrom = keysFrom
	return nil
}

// Ready lists the shards that this daemon serves.
func (handler *Handler) Ready(request ReadyRequest, reply *ReadyReply) error {
	if request.To != string(handler.service.peers.Self().ID) {
		reply.Refusal = refusalOtherRun
		return nil
	}
	reply.Epoch, reply.Shards = handler.service.Ready()
	return nil
}
