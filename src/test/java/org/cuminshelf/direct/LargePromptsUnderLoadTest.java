package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import net.jqwik.api.Example;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/**
 * Tests an entry with one engine that prefills prompts one after the other and receives more of them than it can
 * process.
 */
class LargePromptsUnderLoadTest {

    private static final String ENGINE = "d0";
    private static final double MILLIS_PER_TOKEN = 1 / 40.0;
    private static final int USUAL_TOKENS = 1_000;
    private static final int LARGE_TOKENS = 7_000;
    /** Interval between calls in a burst of twice the load that the engine can process. */
    private static final int ARRIVAL_INTERVAL_MILLIS = 20;

    private static final int CALLS = 1_500;

    /** A prompt at the engine that is not prefilled yet, or a stream that has not ended. */
    private record Running(DirectFixture.SentRequest sent, long endsAt) {}

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
    private final DirectFixture entry =
            new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false)).becomeReady();
    private final List<Running> running = new ArrayList<>();
    private long engineFreeAt;

    /*
     * Guards against refusing all of the largest prompts under overload: with twice the work that the engine can do,
     * their answers are worth less than the engine time that they take.
     */
    @Example
    void largePromptsAreAnsweredAtLeastHalfAsOftenAsAll() {
        entry.advance(5_000);
        entry.addUpstream(ENGINE, Role.ROLE_DECODE);
        entry.reportPrefillTimes(ENGINE, Role.ROLE_DECODE, 5, 1_000 * MILLIS_PER_TOKEN);
        List<DirectFixture.CallerResponse> usual = new ArrayList<>();
        List<DirectFixture.CallerResponse> large = new ArrayList<>();
        for (int call = 0; call < CALLS; call++) {
            boolean isLarge = random.nextInt(10) == 0;
            int tokens = isLarge ? LARGE_TOKENS : USUAL_TOKENS + random.nextInt(USUAL_TOKENS);
            int before = entry.sentRequests.size();
            (isLarge ? large : usual)
                    .add(entry.sendRequest("r" + call, "Tokens", String.valueOf(tokens), "Shared", "1"));
            prefill(before, tokens);
            for (int millis = 0; millis < ARRIVAL_INTERVAL_MILLIS; millis++) {
                int sentBefore = entry.sentRequests.size();
                entry.advance(1);
                prefill(sentBefore, USUAL_TOKENS);
                completeFinished();
            }
        }
        double largeShare = answered(large);
        double allShare = (answered(large) * large.size() + answered(usual) * usual.size()) / CALLS;
        assertThat(allShare).isBetween(0.3, 0.9);
        assertThat(largeShare).isGreaterThan(0.5 * allShare);
    }

    private static double answered(List<DirectFixture.CallerResponse> answers) {
        long complete = answers.stream()
                .filter(answer -> answer.complete && answer.status == 200)
                .count();
        return (double) complete / answers.size();
    }

    /** Queues the requests sent since an index at the engine, which prefills one prompt after the other. */
    private void prefill(int from, int tokens) {
        for (DirectFixture.SentRequest sent : entry.sentRequests.subList(from, entry.sentRequests.size())) {
            long start = Math.max(entry.now, engineFreeAt);
            engineFreeAt = start + Durations.nanos((long) (tokens * MILLIS_PER_TOKEN));
            running.add(new Running(sent, engineFreeAt));
        }
    }

    /** Completes the requests whose prefill has ended. */
    private void completeFinished() {
        Iterator<Running> all = running.iterator();
        List<DirectFixture.SentRequest> done = new ArrayList<>();
        while (all.hasNext()) {
            Running one = all.next();
            if (one.endsAt <= entry.now) {
                all.remove();
                done.add(one.sent);
            }
        }
        done.stream().filter(sent -> !sent.cancelled).forEach(sent -> {
            sent.respondSealedHead(200);
            sent.respondBody("id: 1\ndata: a\n\n");
            sent.handler.onComplete();
        });
    }
}
