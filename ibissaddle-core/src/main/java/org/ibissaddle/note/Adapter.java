package org.ibissaddle.note;

import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.ModelId;

/**
 * An adapter that model engines load in addition to the weights of a model version.
 *
 * @param id name of the adapter
 * @param model the model version that the adapter applies to
 */
public record Adapter(AdapterId id, ModelId model) {}
