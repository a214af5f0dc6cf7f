package org.cuminshelf.engines;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;

/** Tests of the prediction when an engine will be free. */
class PromptQueueTest {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NOW = 5_000 * NANOS_PER_MILLI;
    private static final Address OTHER = Address.of("10.0.1.2:7000");
    private final PromptQueue queue = PromptQueue.empty();

    /*
     * Guards against a prompt that waits at the entry for an engine that is nearly free, because the queue counts as
     * long as when it was sent although most of it has been prefilled.
     */
    @Example
    void prefillAlreadyDoneIsNotCounted() {
        queue.add(1, new PromptQueue.PendingPrompt(NOW, 100));
        queue.add(2, new PromptQueue.PendingPrompt(NOW, 50));
        assertThat(queue.waitMillis(NOW, 0)).isEqualTo(150);
        assertThat(queue.waitMillis(NOW + 30 * NANOS_PER_MILLI, 0)).isEqualTo(120);
        queue.remove(1);
        queue.onPrefilled(NOW + 100 * NANOS_PER_MILLI);
        assertThat(queue.waitMillis(NOW + 120 * NANOS_PER_MILLI, 0)).isEqualTo(30);
    }

    /*
     * Guards against an engine that prefills more slowly than predicted, looks free, and so receives all new prompts,
     * which are all late. A prompt without output is still in progress, however long it is overdue.
     */
    @Example
    void anOverduePromptStillOccupiesTheEngine() {
        queue.add(1, new PromptQueue.PendingPrompt(NOW, 100));
        queue.add(2, new PromptQueue.PendingPrompt(NOW, 50));
        // The prompt is 800 ms overdue: half of that is expected to remain, followed by the next prompt.
        assertThat(queue.waitMillis(NOW + 900 * NANOS_PER_MILLI, 0)).isEqualTo(450);
        queue.remove(1);
        queue.onPrefilled(NOW + 900 * NANOS_PER_MILLI);
        assertThat(queue.waitMillis(NOW + 900 * NANOS_PER_MILLI, 0)).isEqualTo(50);
    }

    /*
     * Guards against an engine that counts as occupied although it is free: the first output is received a tenth of a
     * second after the prefill.
     */
    @Example
    void theLatencyOfTheFirstOutputDoesNotOccupyTheEngine() {
        queue.add(1, new PromptQueue.PendingPrompt(NOW, 100));
        assertThat(queue.waitMillis(NOW + 150 * NANOS_PER_MILLI, 120)).isZero();
        queue.add(2, new PromptQueue.PendingPrompt(NOW + 150 * NANOS_PER_MILLI, 40));
        assertThat(queue.waitMillis(NOW + 160 * NANOS_PER_MILLI, 120)).isEqualTo(30);
    }

    @Example
    void remotePromptsCountUntilTheyAreReplaced() {
        queue.setRemotePrompts(OTHER, List.of(new PromptQueue.PendingPrompt(NOW, 80)));
        queue.add(1, new PromptQueue.PendingPrompt(NOW, 20));
        assertThat(queue.waitMillis(NOW, 0)).isEqualTo(100);
        queue.setRemotePrompts(OTHER, List.of());
        assertThat(queue.waitMillis(NOW, 0)).isEqualTo(20);
        assertThat(queue.localPrompts()).hasSize(1);
    }

    /*
     * Guards against an urgent prompt that is refused as late, although the engine will prefill it before all the less
     * urgent prompts that wait there.
     */
    @Example
    void anUrgentPromptWaitsOnlyForThePromptInProgressAndForThoseAsUrgent() {
        queue.add(1, new PromptQueue.PendingPrompt(NOW, 100, 5));
        queue.add(2, new PromptQueue.PendingPrompt(NOW, 200, 5));
        queue.add(3, new PromptQueue.PendingPrompt(NOW, 40, 3));
        long later = NOW + 30 * NANOS_PER_MILLI;
        // All were sent at one time, so the engine began with the third.
        assertThat(queue.waitMillis(later, 0, 2)).isEqualTo(10);
        assertThat(queue.waitMillis(later, 0, 4)).isEqualTo(10);
        assertThat(queue.waitMillis(later, 0, 5)).isEqualTo(310);
        assertThat(queue.waitMillis(later, 0)).isEqualTo(310);
    }

    /* Guards against an urgent prompt that is thought to interrupt a prefill which has begun. */
    @Example
    void aPrefillInProgressIsNotInterruptedByAnUrgentPrompt() {
        queue.add(1, new PromptQueue.PendingPrompt(NOW, 100, 5));
        queue.add(2, new PromptQueue.PendingPrompt(NOW + 10 * NANOS_PER_MILLI, 50, 5));
        assertThat(queue.waitMillis(NOW + 20 * NANOS_PER_MILLI, 0, 0)).isEqualTo(80);
        assertThat(queue.waitMillis(NOW + 20 * NANOS_PER_MILLI, 0, 5)).isEqualTo(130);
    }

    /* Guards against urgent prompts that seem to wait for nobody: those sent before them and as urgent go first. */
    @Example
    void equallyUrgentPromptsAreServedInTheOrderOfTheirSending() {
        queue.add(1, new PromptQueue.PendingPrompt(NOW, 100, 3));
        queue.setRemotePrompts(OTHER, List.of(new PromptQueue.PendingPrompt(NOW + NANOS_PER_MILLI, 60, 3)));
        assertThat(queue.waitMillis(NOW + 2 * NANOS_PER_MILLI, 0, 3)).isEqualTo(158);
    }
}
