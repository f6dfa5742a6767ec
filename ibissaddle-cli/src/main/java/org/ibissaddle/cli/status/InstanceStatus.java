package org.ibissaddle.cli.status;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.ibissaddle.id.Address;

/**
 * Status reported by one instance, or the reason why it could not be read.
 *
 * @param control control address that was queried
 * @param response status document, empty when the request failed
 * @param failure reason of the failure, empty when the request succeeded
 */
public record InstanceStatus(Address control, Optional<JsonNode> response, String failure) {
    static InstanceStatus of(Address control, JsonNode response) {
        return new InstanceStatus(control, Optional.of(response), "");
    }

    static InstanceStatus failed(Address control, String failure) {
        return new InstanceStatus(control, Optional.empty(), failure);
    }
}
