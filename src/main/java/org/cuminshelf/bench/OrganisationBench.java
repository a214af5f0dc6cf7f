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

/** Benchmark of organisations: authorisation time per request, heap use, and size of a usage report to control. */
public final class OrganisationBench {

    private static final int KEYS_PER_ORGANISATION = 5;
    private static final int[] ORGANISATION_COUNTS = {20, 200, 2_000};
    private static final int LOOKUPS = 2_000_000;
    private static final int DISTINCT_REQUEST_KEYS = 1_000;
    /** Number of calls that one entry handles between two usage reports to control, at 14 requests per second. */
    private static final int CALLS_PER_USAGE_REPORT = 7;

    private static final double NANOS_PER_MICRO = 1e3;

    private OrganisationBench() {}

    /**
     * Runs the benchmark.
     *
     * @return the result lines to print
     */
    public static List<String> measure() {
        List<String> lines = new ArrayList<>();
        for (int organisationCount : ORGANISATION_COUNTS) {
            long heapBytes = Heap.retainedBytes(() -> organisations(organisationCount));
            Organisations organisations = organisations(organisationCount);
            authorise(organisations, organisationCount, LOOKUPS / 4);
            long start = System.nanoTime();
            long authorised = authorise(organisations, organisationCount, LOOKUPS);
            double meanMicros = (System.nanoTime() - start) / NANOS_PER_MICRO / LOOKUPS;
            lines.add(String.format(
                    Locale.ROOT,
                    "%d organisations of %d keys: %.2f us for each request, %d KB of heap, %d of %d known",
                    organisationCount,
                    KEYS_PER_ORGANISATION,
                    meanMicros,
                    heapBytes / 1024,
                    authorised,
                    LOOKUPS));
        }
        lines.add("a word on the usage of " + CALLS_PER_USAGE_REPORT + " calls of as many organisations: "
                + usageReportBytes() + " bytes");
        return lines;
    }

    private static Organisations organisations(int organisationCount) {
        List<Organisation> all = new ArrayList<>();
        for (int organisation = 0; organisation < organisationCount; organisation++) {
            List<ApiKeyDigest> keys = new ArrayList<>();
            for (int key = 0; key < KEYS_PER_ORGANISATION; key++) {
                keys.add(ApiKeyDigest.of(keyText(organisation, key)));
            }
            all.add(new Organisation("organisation-" + organisation, keys, OptionalInt.of(1)));
        }
        return Organisations.of(all);
    }

    private static String keyText(int organisation, int key) {
        return "a-key-of-some-length-" + organisation + "-" + key;
    }

    /** Digests and authorises the key of each request, and returns the number of authorised requests. */
    private static long authorise(Organisations organisations, int organisationCount, int rounds) {
        List<String> keyTexts = new ArrayList<>();
        for (int key = 0; key < DISTINCT_REQUEST_KEYS; key++) {
            keyTexts.add(keyText(key * 7 % organisationCount, key % KEYS_PER_ORGANISATION));
        }
        long authorised = 0;
        for (int round = 0; round < rounds; round++) {
            RequestApiKeys keys =
                    new RequestApiKeys(List.of(ApiKeyDigest.of(keyTexts.get(round % DISTINCT_REQUEST_KEYS))));
            authorised += organisations.authorise(keys, false) instanceof AccessDecision.Authorised ? 1 : 0;
        }
        return authorised;
    }

    private static int usageReportBytes() {
        UsageCounter usageCounter = UsageCounter.create();
        for (int call = 0; call < CALLS_PER_USAGE_REPORT; call++) {
            usageCounter.count(353_445_120, "organisation-" + call);
        }
        return Subscribe.newBuilder()
                .setAskedAtNs(System.nanoTime())
                .setUsageVersion(usageCounter.version())
                .addAllUsage(usageCounter.changesSince(0))
                .setUsageUntil(353_445_120)
                .build()
                .getSerializedSize();
    }
}
