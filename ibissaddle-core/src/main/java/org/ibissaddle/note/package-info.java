/**
 * Release notes: the operator's declaration of regions, pools, models, workspaces and routing rules, with its
 * validation.
 *
 * <p>Start with {@link org.ibissaddle.note.ReleaseNote}.
 */
package org.ibissaddle.note;
