package org.cuminshelf.poison;

import org.cuminshelf.message.AttributeKind;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.QuarantinedRequest;

/**
 * What a request may be poison by: the request itself, or an attribute that it shares with other requests of its
 * service, such as a segment of its prompt.
 *
 * @param kind        the kind; its number rises with the number of requests that usually share the attribute
 * @param service     the service whose requests have it; empty for a whole request
 * @param name        its name within kind and service, as an operator reads it; empty for a whole request
 * @param fingerprint identifies it among requests and attributes
 */
public record RequestAttribute(AttributeKind kind, String service, String name, Fingerprint fingerprint) {

    /** Longest name that is kept as it is; a longer one is replaced by its fingerprint. */
    private static final int MAX_NAME_LENGTH = 64;

    private static final char SEPARATOR = '\n';

    /**
     * Creates the attribute that only copies of one request have.
     *
     * @param fingerprint the fingerprint of the request
     * @return the attribute
     */
    public static RequestAttribute request(Fingerprint fingerprint) {
        return new RequestAttribute(AttributeKind.REQUEST, "", "", fingerprint);
    }

    /**
     * Creates an attribute that several requests may share.
     *
     * @param kind    its kind
     * @param service the service of the requests
     * @param name    its name
     * @return the attribute
     */
    public static RequestAttribute shared(AttributeKind kind, String service, String name) {
        String bounded =
                name.length() <= MAX_NAME_LENGTH ? name : Fingerprint.of(name).toString();
        Fingerprint fingerprint = Fingerprint.of(kind.getNumber() + SEPARATOR + service + SEPARATOR + bounded);
        return new RequestAttribute(kind, service, bounded, fingerprint);
    }

    static RequestAttribute of(CrashedRun run) {
        Fingerprint fingerprint = new Fingerprint(run.getHigh(), run.getLow());
        return new RequestAttribute(run.getKind(), run.getService(), run.getName(), fingerprint);
    }

    /**
     * Returns what a row of the quarantine is about.
     *
     * @param row the row
     * @return the request or attribute
     */
    public static RequestAttribute of(QuarantinedRequest row) {
        return new RequestAttribute(row.getKind(), row.getService(), row.getName(), Quarantine.fingerprint(row));
    }

    /**
     * Checks whether other requests may have the attribute too.
     *
     * @return whether it is not a whole request
     */
    public boolean isShared() {
        return kind != AttributeKind.REQUEST;
    }

    /**
     * Describes the attribute to callers and operators.
     *
     * @return its kind and name, or the fingerprint of a whole request
     */
    public String description() {
        String ofService = " of service " + service;
        return switch (kind) {
            case PROMPT_SEGMENT -> "prompt segment " + name + ofService;
            case CALLER -> "caller " + name + ofService;
            case MODEL -> "model " + name + ofService;
            case ROUTE -> "route " + name + ofService;
            default -> fingerprint.toString();
        };
    }
}
