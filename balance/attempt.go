package balance

// Done ends the attempt: it releases its place and takes what the outcome teaches. It may be called by any goroutine.
func (a Attempt) Done(o Outcome) {
	if a.load == nil || !a.load.tickets.redeem(a.ticket) {
		return
	}
	a.load.inFlight.Add(-1)
	a.service.inFlight.Add(-1)
	if a.member != nil {
		a.member.inFlight.Add(-1)
	}
	if o.Reported {
		a.load.reported.Store(uint32(o.State))
		raise(&a.load.evidence, a.start)
	}
}
