/** Collects the timeline of all instances and renders it as text and as an HTML page. */
package org.ibissaddle.cli.timeline;
