/**
 * The release note: what operators declare about regions, pools, models, workspaces and rules, and its checking.
 *
 * <p>Start with {@link org.ibissaddle.note.ReleaseNote}.
 */
package org.ibissaddle.note;
