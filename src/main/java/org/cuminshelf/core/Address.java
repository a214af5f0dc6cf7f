package org.cuminshelf.core;

import java.util.Objects;

/**
 * Destination of a message: the listening address of a process ({@code ip:port}), or a local port within the same
 * process ({@code local:name}).
 *
 * @param value the address as written in messages and settings
 */
public record Address(String value) implements Comparable<Address> {

    /** Local port of an entry for callers' requests and their responses. */
    public static final Address CALLERS = new Address("local:callers");

    /** Local port of a sidecar for the upstream on the same VM. */
    public static final Address UPSTREAM = new Address("local:upstream");

    /** Local port of a control process for its persistent storage. */
    public static final Address STORAGE = new Address("local:storage");

    /** Local port of a control process for its administration interface. */
    public static final Address ADMINISTRATORS = new Address("local:administrators");

    /** Local port of a control process for orders to upstreams that send it heartbeats directly, without a sidecar. */
    public static final Address ORDERS = new Address("local:orders");

    /** Local port for messages between a core and the process that runs it, such as stop requests. */
    public static final Address PROCESS = new Address("local:process");

    private static final String LOCAL_PREFIX = "local:";

    /**
     * Creates an address.
     *
     * @param value the address as written in messages and settings
     * @throws NullPointerException if the value is null
     */
    public Address {
        Objects.requireNonNull(value, "value");
    }

    /**
     * Creates an address from its text form.
     *
     * @param value {@code ip:port} or {@code local:name}
     * @return the address
     */
    public static Address of(String value) {
        return new Address(value);
    }

    /**
     * Returns whether this is a local port within the same process.
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
