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

/** Takes new calls in or refuses them; a call refused here did not run. */
final class AdmissionSystem {

    private static final int DEFAULT_PRIORITY = 4;
    private static final int HIGHEST_PRIORITY = 9;
    private static final int RETRY_AFTER_NOT_READY_MILLIS = 1_000;

    private final EntryState tables;
    private final AnswerSystem answers;
    private final Router router;

    AdmissionSystem(EntryState tables, AnswerSystem answers, Router router) {
        this.tables = tables;
        this.answers = answers;
        this.router = router;
    }

    void onCall(long now, CallArrived request, boolean leaving, Outbox out) {
        FleetConfig config = tables.config.config();
        Optional<Long> deadlineMillis = deadlineMillis(config, request);
        long limit = deadlineMillis.orElse(0L);
        long deadline = now + Durations.nanos(request.getDeadlineMs() > 0 ? request.getDeadlineMs() : limit);
        CallRow call = new CallRow(request, now, deadline, priority(config, request));
        tables.calls.put(call.id, call);
        if (call.isGeneration()) {
            tables.config.offered(
                    call.generation(), tables.estimates.expected(request.getOrganisation(), call.generation()));
        }
        if (leaving || !tables.config.isReady()) {
            refuse(call, leaving ? Cause.LEAVING : Cause.NOT_READY, RETRY_AFTER_NOT_READY_MILLIS, out);
            return;
        }
        if (deadlineMillis.isEmpty()) {
            refuse(call, call.isGeneration() ? Cause.UNKNOWN_MODEL : Cause.UNKNOWN_SERVICE, 0, out);
            return;
        }
        if (!router.hasAny(call)) {
            refuse(call, Cause.NO_UPSTREAM, RETRY_AFTER_NOT_READY_MILLIS, out);
            return;
        }
        Optional<Long> wait = tables.limits.take(now, request.getOrganisation(), config, tables.config.entries());
        if (wait.isPresent()) {
            refuse(call, Cause.LIMIT_REACHED, wait.get(), out);
            return;
        }
        if (tables.waiting.size() >= tables.settings.longestQueue()) {
            refuse(call, Cause.OVERLOADED, Durations.millis(Router.nanos(router.secondsUntilFree(call))), out);
            return;
        }
        admit(call, config);
    }

    private void admit(CallRow call, FleetConfig config) {
        tables.retryBudget.onCall(call.target());
        tables.callDeadlines.set(call.id, call.deadline);
        double weight = config.organisation(call.request.getOrganisation())
                .flatMap(OrganisationConfig::weight)
                .orElse(1.0);
        tables.waiting.add(call, cost(call), weight);
        tables.routingDue = true;
    }

    private double cost(CallRow call) {
        if (!call.isGeneration()) {
            return 1;
        }
        return call.generation().getPromptTokens()
                + 4 * tables.estimates.expected(call.request.getOrganisation(), call.generation());
    }

    private void refuse(CallRow call, Cause cause, long retryAfterMillis, Outbox out) {
        answers.finishFailed(call, Ran.NOT_RUN, cause, retryAfterMillis, "", out);
    }

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
