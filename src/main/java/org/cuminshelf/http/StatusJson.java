package org.cuminshelf.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.cuminshelf.message.FleetStatus;
import org.cuminshelf.message.GroupStatus;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.UpstreamKind;

/** Encodes the status of the fleet as JSON. */
final class StatusJson {

    private static final ObjectMapper JSON = new ObjectMapper();

    private StatusJson() {}

    static ObjectNode of(FleetStatus status) {
        ObjectNode node = JSON.createObjectNode()
                .put("address", status.getAddress())
                .put("config_version", status.getConfigVersion())
                .put("lowest_version_in_force", status.getLowestVersionInForce())
                .put("subscribers", status.getSubscribers())
                .put("claims", status.getClaims())
                .put("role_changes", status.getRoleChanges());
        ArrayNode groups = node.putArray("groups");
        status.getGroupsList().forEach(group -> groups.add(groupNode(group)));
        ArrayNode upstreams = node.putArray("upstreams");
        status.getMembersList().stream()
                .filter(member -> !member.getGone())
                .forEach(member -> upstreams.add(memberNode(member)));
        ArrayNode orders = node.putArray("pending_orders");
        status.getPendingOrdersList().forEach(order -> orders.add(orderNode(order)));
        return node;
    }

    private static ObjectNode groupNode(GroupStatus group) {
        ObjectNode node = JSON.createObjectNode()
                .put("group", group.getGroup())
                .put("role", group.getRole().toLowerCase(Locale.ROOT))
                .put("term", group.getTerm())
                .put("commit", group.getCommit())
                .put("leader", group.getLeader());
        ArrayNode voters = node.putArray("voters");
        group.getVotersList()
                .forEach(voter -> voters.addObject()
                        .put("address", voter.getAddress())
                        .put("identity", Long.toHexString(voter.getIdentity()))
                        .put("learner", voter.getLearner()));
        return node;
    }

    private static ObjectNode memberNode(Member member) {
        ObjectNode node = JSON.createObjectNode()
                .put("vm", member.getVm())
                .put("address", member.getAddress())
                .put("zone", member.getZone())
                .put("kind", member.getKind() == UpstreamKind.UPSTREAM_ENGINE ? "engine" : "service")
                .put("service", member.getService())
                .put("role", org.cuminshelf.upstream.EngineUpstream.roleName(member.getRole()))
                .put("leaving", member.getLeaving());
        ArrayNode models = node.putArray("models");
        member.getModelsList().forEach(models::add);
        ArrayNode adapters = node.putArray("adapters");
        member.getAdaptersList().forEach(adapters::add);
        return node;
    }

    private static ObjectNode orderNode(Order order) {
        return JSON.createObjectNode()
                .put("engine", order.getEngine())
                .put("term", order.getTerm())
                .put("number", order.getNumber())
                .put("kind", order.getBody().getKindCase().name().toLowerCase(Locale.ROOT))
                .put("requested_by", order.getRequestedBy());
    }
}
