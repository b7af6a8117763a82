//! A gateway's relation to the holder of one shard's counter.

use crate::escrow::{Escrow, RequestNumber, REQUEST_TIMEOUT};
use crate::pacer::RequestPacer;
use crate::{CounterIncarnation, Holder, QuotaRequest, QuotaResponse, UnavailableReason};
use limeway_types::Timestamp;

/// Why units cannot be leased, and since when.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unavailable {
    pub reason: UnavailableReason,
    pub since: Timestamp,
}

/// A request that nothing else is sent beside.
#[derive(Debug, Clone, Copy)]
struct ExclusiveRequest {
    number: RequestNumber,
    sent: Timestamp,
}

/// The relation to one shard's counter.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShardLink {
    pub holder: Option<Holder>,
    /// The last request that reported blocks to any counter: what was requested before is not used.
    pub last_report: RequestNumber,
    /// The counter, 0 if it is not known yet.
    pub counter: CounterIncarnation,
    /// The counter knows what is held here.
    pub blocks_reported: bool,
    exclusive: Option<ExclusiveRequest>,
    pub pacer: RequestPacer,
    pub unavailable: Option<Unavailable>,
}

impl ShardLink {
    /// Whether the counter may be asked now.
    pub(crate) fn may_send(&self, now: Timestamp) -> bool {
        let is_free = self.exclusive.is_none_or(|request| now >= request.sent + REQUEST_TIMEOUT);
        self.holder.is_some() && self.pacer.may_send(now) && (self.blocks_reported || is_free)
    }

    pub(crate) fn set_unavailable(&mut self, now: Timestamp, reason: UnavailableReason) {
        let since = self.unavailable.map_or(now, |unavailable| unavailable.since);
        self.unavailable = Some(Unavailable { reason, since });
    }

    /// Takes who holds the counter now. Another holder ends the backoff.
    pub(crate) fn set_holder(&mut self, now: Timestamp, holder: Option<Holder>) {
        if self.holder != holder {
            let mut pacer = self.pacer;
            pacer.succeeded();
            let unavailable = self.unavailable.filter(|u| u.reason != UnavailableReason::NoHolder);
            let last_report = self.last_report;
            *self = ShardLink { holder, pacer, last_report, unavailable, ..ShardLink::default() };
        }
        if holder.is_none() {
            self.set_unavailable(now, UnavailableReason::NoHolder);
        }
    }

    /// A request is sent. Until the counter knows what is held here, nothing is sent beside it.
    pub(crate) fn request_sent(&mut self, now: Timestamp, number: RequestNumber, reports_blocks: bool) {
        self.pacer.sent(now);
        if reports_blocks {
            self.last_report = number;
        }
        if !self.blocks_reported {
            self.exclusive = Some(ExclusiveRequest { number, sent: now });
        }
    }

    /// A request has come to its end.
    pub(crate) fn request_ended(&mut self, number: RequestNumber) {
        self.exclusive = self.exclusive.filter(|request| request.number != number);
    }

    /// Uses the response of the present holder.
    ///
    /// # Errors
    /// Why it cannot be used.
    pub(crate) fn use_response(
        &mut self,
        escrow: &mut Escrow,
        now: Timestamp,
        sent: Timestamp,
        request: &QuotaRequest,
        response: &QuotaResponse,
    ) -> Result<(), UnavailableReason> {
        let is_new_counter = self.counter != response.counter;
        (self.counter, self.blocks_reported) = (response.counter, !response.needs_blocks);
        if response.needs_blocks {
            // Blocks are reported at once, now that the counter is known, or has forgotten.
            let expected = is_new_counter || request.blocks.is_none();
            return if expected { Ok(()) } else { Err(UnavailableReason::BlocksNotReported) };
        }
        if response.phase.counter == 0 {
            self.pacer.hold_off(now, response.phase.remaining);
        }
        use_grants(escrow, now, sent, request, response)?;
        self.pacer.succeeded();
        self.unavailable = None;
        Ok(())
    }
}

/// Takes what a counter has granted.
///
/// # Errors
/// Why it cannot be used.
pub(crate) fn use_grants(
    escrow: &mut Escrow,
    now: Timestamp,
    sent: Timestamp,
    request: &QuotaRequest,
    response: &QuotaResponse,
) -> Result<(), UnavailableReason> {
    if response.needs_blocks || response.phase.counter == 0 {
        return Err(UnavailableReason::NotBegun);
    }
    if !escrow.observe_phase(now, sent, response.phase) {
        return Err(UnavailableReason::AnswersLate);
    }
    for grant in &response.grants {
        if let Some(tenant) = request.tenants.iter().find(|tenant| tenant.tenant == grant.tenant) {
            escrow.granted(now, request.sequence, sent, tenant, response.phase, grant);
        }
    }
    Ok(())
}
