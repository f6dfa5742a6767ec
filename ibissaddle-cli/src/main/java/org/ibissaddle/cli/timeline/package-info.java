/** Collects the time line of all instances and writes it as text and as a page. */
package org.ibissaddle.cli.timeline;
