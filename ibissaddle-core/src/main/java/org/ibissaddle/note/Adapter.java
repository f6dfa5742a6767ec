package org.ibissaddle.note;

import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.ModelId;

/**
 * An adapter that engines hold beside the weights of a model version.
 *
 * @param id name of the adapter
 * @param model the model version that it specialises
 */
public record Adapter(AdapterId id, ModelId model) {}
