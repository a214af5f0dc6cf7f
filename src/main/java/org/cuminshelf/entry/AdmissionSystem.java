package org.cuminshelf.entry;

import java.util.Optional;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.config.ModelConfig;
import org.cuminshelf.config.OrganisationConfig;
import org.cuminshelf.config.ServiceConfig;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.CallArrived;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Ran;

/** Accepts or refuses new calls. A call refused here did not run. */
final class AdmissionSystem {

    private static final int DEFAULT_PRIORITY = 4;
    private static final int HIGHEST_PRIORITY = 9;
    private static final int NOT_READY_RETRY_AFTER_MILLIS = 1_000;

    private final EntryState state;
    private final AnswerSystem answers;
    private final Router router;

    AdmissionSystem(EntryState state, AnswerSystem answers, Router router) {
        this.state = state;
        this.answers = answers;
        this.router = router;
    }

    void onCall(long now, CallArrived request, boolean leaving, Outbox out) {
        FleetConfig config = state.config.config();
        Optional<Long> deadlineMillis = deadlineMillis(config, request);
        long defaultDeadlineMillis = deadlineMillis.orElse(0L);
        long deadlineNanos =
                now + Durations.nanos(request.getDeadlineMs() > 0 ? request.getDeadlineMs() : defaultDeadlineMillis);
        CallRow call = new CallRow(request, now, deadlineNanos, priority(config, request));
        state.calls.put(call.id, call);
        if (call.isGeneration()) {
            state.config.recordOffered(
                    call.generation(),
                    state.outputLengths.expectedTokens(request.getOrganisation(), call.generation()));
        }
        if (leaving || !state.config.isReady()) {
            refuse(call, leaving ? Cause.LEAVING : Cause.NOT_READY, NOT_READY_RETRY_AFTER_MILLIS, out);
            return;
        }
        if (deadlineMillis.isEmpty()) {
            refuse(call, call.isGeneration() ? Cause.UNKNOWN_MODEL : Cause.UNKNOWN_SERVICE, 0, out);
            return;
        }
        if (!router.hasUpstream(call)) {
            refuse(call, Cause.NO_UPSTREAM, NOT_READY_RETRY_AFTER_MILLIS, out);
            return;
        }
        Optional<Long> waitMillis =
                state.rateLimiter.acquire(now, request.getOrganisation(), config, state.config.entryCount());
        if (waitMillis.isPresent()) {
            refuse(call, Cause.LIMIT_REACHED, waitMillis.get(), out);
            return;
        }
        if (state.waitingCalls.size() >= state.settings.maxWaitingCalls()) {
            refuse(call, Cause.OVERLOADED, Durations.millis(Router.nanos(router.secondsUntilFreeSlot(call))), out);
            return;
        }
        admit(call, config);
    }

    private void admit(CallRow call, FleetConfig config) {
        state.retryBudget.onCall(call.target());
        state.callDeadlines.set(call.id, call.deadlineNanos);
        double weight = config.organisation(call.request.getOrganisation())
                .flatMap(OrganisationConfig::weight)
                .orElse(1.0);
        state.waitingCalls.add(call, cost(call), weight);
        state.routingDue = true;
    }

    /** The cost of a call in the fair queue: 1 for an exchange, weighted tokens for a generation. */
    private double cost(CallRow call) {
        if (!call.isGeneration()) {
            return 1;
        }
        return call.generation().getPromptTokens()
                + 4 * state.outputLengths.expectedTokens(call.request.getOrganisation(), call.generation());
    }

    private void refuse(CallRow call, Cause cause, long retryAfterMillis, Outbox out) {
        answers.finishFailed(call, Ran.NOT_RUN, cause, retryAfterMillis, "", out);
    }

    /** Returns the deadline configured for the model or service; empty if it is unknown. */
    private static Optional<Long> deadlineMillis(FleetConfig config, CallArrived request) {
        return switch (request.getWorkCase()) {
            case GENERATION ->
                Optional.ofNullable(config.models().get(request.getGeneration().getModel()))
                        .map(ModelConfig::deadlineMillis);
            case EXCHANGE ->
                Optional.ofNullable(config.services().get(request.getExchange().getService()))
                        .map(ServiceConfig::deadlineMillis);
            case WORK_NOT_SET -> Optional.empty();
        };
    }

    private static int priority(FleetConfig config, CallArrived request) {
        if (request.getPriority() > 0) {
            return Math.min(request.getPriority(), HIGHEST_PRIORITY);
        }
        return config.organisation(request.getOrganisation())
                .flatMap(OrganisationConfig::priority)
                .orElse(DEFAULT_PRIORITY);
    }
}
