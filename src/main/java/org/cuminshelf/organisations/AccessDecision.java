package org.cuminshelf.organisations;

/** In whose name a request may run. */
public sealed interface AccessDecision {

    /**
     * In that of an organisation.
     *
     * @param organisation the organisation that holds the key
     */
    record Authorised(Organisation organisation) implements AccessDecision {}

    /** In nobody's, which is enough here. */
    record Anonymous() implements AccessDecision {}

    /**
     * It may not run.
     *
     * @param reason why, without the key
     */
    record Denied(String reason) implements AccessDecision {}
}
