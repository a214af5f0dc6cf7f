package org.cuminshelf.sidecar;

import java.util.List;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.UpstreamKind;

/**
 * What a sidecar is told about its place and its upstream.
 *
 * @param service     the plain service, or empty for an engine
 * @param kind        engine or plain service
 * @param region      the region of the VM
 * @param zone        the availability zone of the VM
 * @param vm          the name of the VM
 * @param slots       attempts it runs at once; more are refused
 * @param checksFence whether the upstream itself refuses an order with an old fencing number
 * @param control     the control processes to announce to
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
