package org.cuminshelf.organisations;

/** Whether a request is authorised, and on behalf of which organisation. */
public sealed interface AccessDecision {

    /**
     * The request is authorised on behalf of an organisation.
     *
     * @param organisation the organisation that the key belongs to
     */
    record Authorised(Organisation organisation) implements AccessDecision {}

    /** The request is authorised without an organisation. */
    record Anonymous() implements AccessDecision {}

    /**
     * The request is not authorised.
     *
     * @param reason the reason; does not contain the key
     */
    record Denied(String reason) implements AccessDecision {}
}
