package org.cuminshelf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.organisations.AccessDecision;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.organisations.RequestApiKeys;
import org.cuminshelf.usage.UsageCounter;

/** What organisations cost a request, an entry's memory, and the word of their usage to control. */
public final class OrganisationBench {

    private static final int KEYS_EACH = 5;
    private static final int[] NUMBERS = {20, 200, 2_000};
    private static final int LOOKUPS = 2_000_000;
    private static final int KEYS_ASKED = 1_000;
    /** Calls of one entry between two words to control, at 14 requests a second. */
    private static final int CALLS_BETWEEN_WORDS = 7;

    private static final double NANOS_PER_MICRO = 1e3;

    private OrganisationBench() {}

    /**
     * Measures.
     *
     * @return lines to print
     */
    public static List<String> measure() {
        List<String> lines = new ArrayList<>();
        for (int number : NUMBERS) {
            long bytes = Heap.kept(() -> organisations(number));
            Organisations organisations = organisations(number);
            lookups(organisations, number, LOOKUPS / 4);
            long began = System.nanoTime();
            long known = lookups(organisations, number, LOOKUPS);
            double micros = (System.nanoTime() - began) / NANOS_PER_MICRO / LOOKUPS;
            lines.add(String.format(
                    Locale.ROOT,
                    "%d organisations of %d keys: %.2f us for each request, %d KB of heap, %d of %d known",
                    number,
                    KEYS_EACH,
                    micros,
                    bytes / 1024,
                    known,
                    LOOKUPS));
        }
        lines.add("a word on the usage of " + CALLS_BETWEEN_WORDS + " calls of as many organisations: " + wordBytes()
                + " bytes");
        return lines;
    }

    private static Organisations organisations(int number) {
        List<Organisation> all = new ArrayList<>();
        for (int organisation = 0; organisation < number; organisation++) {
            List<ApiKeyDigest> keys = new ArrayList<>();
            for (int key = 0; key < KEYS_EACH; key++) {
                keys.add(ApiKeyDigest.of(text(organisation, key)));
            }
            all.add(new Organisation("organisation-" + organisation, keys, OptionalInt.of(1)));
        }
        return Organisations.of(all);
    }

    private static String text(int organisation, int key) {
        return "a-key-of-some-length-" + organisation + "-" + key;
    }

    /** Reads keys as they come with requests and looks them up. */
    private static long lookups(Organisations organisations, int number, int rounds) {
        List<String> texts = new ArrayList<>();
        for (int key = 0; key < KEYS_ASKED; key++) {
            texts.add(text(key * 7 % number, key % KEYS_EACH));
        }
        long known = 0;
        for (int round = 0; round < rounds; round++) {
            RequestApiKeys keys = new RequestApiKeys(List.of(ApiKeyDigest.of(texts.get(round % KEYS_ASKED))));
            known += organisations.authorise(keys, false) instanceof AccessDecision.Authorised ? 1 : 0;
        }
        return known;
    }

    private static int wordBytes() {
        UsageCounter ledger = UsageCounter.create();
        for (int call = 0; call < CALLS_BETWEEN_WORDS; call++) {
            ledger.count(353_445_120, "organisation-" + call);
        }
        return Subscribe.newBuilder()
                .setAskedAtNs(System.nanoTime())
                .setUsageVersion(ledger.version())
                .addAllUsage(ledger.changesSince(0))
                .setUsageUntil(353_445_120)
                .build()
                .getSerializedSize();
    }
}
