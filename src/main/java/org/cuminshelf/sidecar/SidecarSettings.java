package org.cuminshelf.sidecar;

import java.util.List;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.UpstreamKind;

/**
 * The configuration of a sidecar: its location and its upstream.
 *
 * @param service     the name of the plain service, or empty for an engine
 * @param kind        engine or plain service
 * @param region      the region of the VM
 * @param zone        the availability zone of the VM
 * @param vm          the name of the VM
 * @param slots       maximum number of concurrent attempts; further ones are refused
 * @param checksFence whether the upstream itself refuses orders with an outdated fencing number
 * @param control     the addresses of the control processes that get announcements
 */
public record SidecarSettings(
        String service,
        UpstreamKind kind,
        String region,
        String zone,
        String vm,
        int slots,
        boolean checksFence,
        List<Address> control) {}
