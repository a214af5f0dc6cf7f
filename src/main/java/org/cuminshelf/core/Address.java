package org.cuminshelf.core;

import java.util.Objects;

/**
 * Where a message goes: the listening address of a process ({@code ip:port}), or a local port of the own process
 * ({@code local:name}).
 *
 * @param value the address as it is written in messages and settings
 */
public record Address(String value) implements Comparable<Address> {

    /** Port on which callers' requests arrive and answers leave; known to an entry alone. */
    public static final Address CALLERS = new Address("local:callers");

    /** Port to the upstream beside a sidecar. */
    public static final Address UPSTREAM = new Address("local:upstream");

    /** Port to the synced files of a control process. */
    public static final Address STORAGE = new Address("local:storage");

    /** Port to the administration interface of a control process. */
    public static final Address ADMINISTRATORS = new Address("local:administrators");

    /** Port over which a control process gives orders to upstreams that announce themselves straight to it. */
    public static final Address ORDERS = new Address("local:orders");

    /** Port to the process itself: stop and stopped. */
    public static final Address PROCESS = new Address("local:process");

    private static final String LOCAL_PREFIX = "local:";

    /**
     * Checks that there is a value.
     *
     * @param value the address as it is written in messages and settings
     */
    public Address {
        Objects.requireNonNull(value, "value");
    }

    /**
     * Makes an address from its written form.
     *
     * @param value {@code ip:port} or {@code local:name}
     * @return the address
     */
    public static Address of(String value) {
        return new Address(value);
    }

    /**
     * Tells whether this is a port of the own process.
     *
     * @return true for a local port
     */
    public boolean isLocal() {
        return value.startsWith(LOCAL_PREFIX);
    }

    @Override
    public int compareTo(Address other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
