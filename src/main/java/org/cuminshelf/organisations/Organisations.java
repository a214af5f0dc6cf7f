package org.cuminshelf.organisations;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The organisations of one configuration. A lookup by key takes constant time. */
public final class Organisations {

    private static final Organisations UNRESTRICTED = new Organisations(List.of(), false);
    private static final AccessDecision ANONYMOUS = new AccessDecision.Anonymous();

    private final List<Organisation> all;
    private final boolean keyRequired;
    private final Map<ApiKeyDigest, Organisation> byKey = new HashMap<>();

    private Organisations(List<Organisation> all, boolean keyRequired) {
        this.all = List.copyOf(all);
        this.keyRequired = keyRequired;
        all.forEach(organisation -> organisation.keys().forEach(key -> byKey.putIfAbsent(key, organisation)));
    }

    /**
     * Returns the table of a deployment without organisations.
     *
     * @return a table that authorises every request without a key
     */
    public static Organisations unrestricted() {
        return UNRESTRICTED;
    }

    /**
     * Creates the table of a deployment with organisations.
     *
     * @param all the organisations; if there are none, no key is valid
     * @return the table; see {@link #validationError()}
     */
    public static Organisations of(List<Organisation> all) {
        return new Organisations(all, true);
    }

    /**
     * Checks whether this table is valid.
     *
     * @return the first error with the names of its organisations and without keys; empty if the table is valid
     */
    public Optional<String> validationError() {
        Set<String> names = new HashSet<>();
        for (Organisation organisation : all) {
            if (organisation.name().isBlank()) {
                return Optional.of("an organisation has an empty name");
            }
            if (!names.add(organisation.name())) {
                return Optional.of("two organisations are named " + organisation.name());
            }
            for (ApiKeyDigest key : organisation.keys()) {
                Organisation holder = byKey.get(key);
                if (holder != organisation) {
                    return Optional.of("the organisations " + holder.name() + " and " + organisation.name()
                            + " hold the same key");
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Decides whether a request is authorised.
     *
     * @param keys        the keys of the request
     * @param publicRoute whether its route requires no key
     * @return the decision
     */
    public AccessDecision authorise(RequestApiKeys keys, boolean publicRoute) {
        Optional<Organisation> holder = keys.single().map(byKey::get);
        if (holder.isPresent()) {
            return new AccessDecision.Authorised(holder.get());
        }
        if (publicRoute || !keyRequired) {
            return ANONYMOUS;
        }
        return new AccessDecision.Denied(denialReason(keys));
    }

    private static String denialReason(RequestApiKeys keys) {
        return switch (keys.digests().size()) {
            case 0 -> "no-key";
            case 1 -> "unknown-key";
            default -> "several-keys";
        };
    }

    /**
     * Returns all organisations.
     *
     * @return the organisations in the order received
     */
    public List<Organisation> all() {
        return all;
    }
}
