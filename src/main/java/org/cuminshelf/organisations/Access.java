package org.cuminshelf.organisations;

/** In whose name a request may run. */
public sealed interface Access {

    /**
     * In that of an organisation.
     *
     * @param organisation the organisation that holds the key
     */
    record Member(Organisation organisation) implements Access {}

    /** In nobody's, which is enough here. */
    record Anonymous() implements Access {}

    /**
     * It may not run.
     *
     * @param reason why, without the key
     */
    record Denied(String reason) implements Access {}
}
