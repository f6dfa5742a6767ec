package org.ibissaddle.cli.status;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.ibissaddle.id.Address;

/**
 * What one instance said of itself and the fleet.
 *
 * @param control address that was asked
 * @param answer its status, empty when there was no answer
 * @param failure why there was no answer, empty when there was one
 */
public record InstanceStatus(Address control, Optional<JsonNode> answer, String failure) {
    static InstanceStatus of(Address control, JsonNode answer) {
        return new InstanceStatus(control, Optional.of(answer), "");
    }

    static InstanceStatus failed(Address control, String failure) {
        return new InstanceStatus(control, Optional.empty(), failure);
    }
}
