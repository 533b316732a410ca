package journaler

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// errInjected is returned by an operation that was made to fail.
var errInjected = errors.New("injected failure")

// crashDisk is a file system in memory that knows what would survive a loss of power. It is stricter than most real
// ones: the sync of a file does not make its name durable.
type crashDisk struct {
	// names are what processes see, and durable what survives a loss of power.
	names, durable map[string]*inode
	// changes are the changes of names that are not durable, in order.
	changes []nameChange
	// before is called with the name of each operation that changes something, or syncs, before it takes place.
	before func(operation string)
	// operations counts them. The one with number failing fails, unless it is zero.
	operations, failing int
	// refuse returns the error of an operation that the disk refuses, if it is set.
	refuse func(operation string) error
}

// inode is a file or a folder.
type inode struct {
	folder bool
	// content is what processes read, and synced what survives a loss of power.
	content, synced []byte
	// unsynced holds the writes since the last sync, in order.
	unsynced []contentChange
}

// contentChange is a write, or a change of the length if data is nil.
type contentChange struct {
	offset int64
	data   []byte
}

// nameChange gives a name to an inode, takes a name away if inode is nil, or moves it from another name.
type nameChange struct {
	from, to string
	inode    *inode
}

// newCrashDisk returns an empty disk on which the operator has made the parent of the data folder.
func newCrashDisk() *crashDisk {
	names := map[string]*inode{"/": {folder: true}, filepath.Dir(dataFolder): {folder: true}}
	return &crashDisk{names: names, durable: maps.Clone(names), before: func(string) {}}
}

// operate counts an operation, and returns an error if it is the one that fails.
func (d *crashDisk) operate(operation string) error {
	d.before(operation)
	d.operations++
	if d.refuse != nil {
		if err := d.refuse(operation); err != nil {
			return err
		}
	}
	if d.operations == d.failing {
		return errInjected
	}
	return nil
}

func (d *crashDisk) readFile(path string) ([]byte, error) {
	n, ok := d.names[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(n.content), nil
}

func (d *crashDisk) size(path string) (int64, error) {
	n, ok := d.names[path]
	if !ok {
		return 0, os.ErrNotExist
	}
	return int64(len(n.content)), nil
}

func (d *crashDisk) exists(path string) bool { return d.names[path] != nil }

func (d *crashDisk) openFile(path string, flag int) (file, error) {
	n, ok := d.names[path]
	if !ok && (flag&os.O_CREATE == 0 || d.names[filepath.Dir(path)] == nil) {
		return nil, os.ErrNotExist
	}
	if !ok {
		if err := d.operate("create " + path); err != nil {
			return nil, err
		}
		n = &inode{}
		d.change(nameChange{to: path, inode: n})
	}
	f := &crashFile{disk: d, inode: n, path: path}
	if flag&os.O_TRUNC != 0 {
		return f, f.Truncate(0)
	}
	return f, nil
}

func (d *crashDisk) rename(from, to string) error {
	if err := d.operate("rename " + from); err != nil {
		return err
	}
	n, ok := d.names[from]
	if !ok {
		return os.ErrNotExist
	}
	d.change(nameChange{from: from, to: to, inode: n})
	return nil
}

// moveBelow moves the names below a folder with it.
func moveBelow(names map[string]*inode, from, to string) {
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if below, ok := strings.CutPrefix(name, from+"/"); ok {
			names[to+"/"+below] = names[name]
			delete(names, name)
		}
	}
}

// removeAll removes the names one by one: each may be kept or lost for itself.
func (d *crashDisk) removeAll(path string) error {
	var names []string
	for name := range d.names {
		if name == path || strings.HasPrefix(name, path+"/") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	slices.Reverse(names)
	for _, name := range names {
		if err := d.operate("remove " + name); err != nil {
			return err
		}
		d.change(nameChange{to: name})
	}
	return nil
}

func (d *crashDisk) makeFolders(path string) error {
	if d.names[path] != nil {
		return nil
	}
	if err := d.makeFolders(filepath.Dir(path)); err != nil {
		return err
	}
	if err := d.operate("make " + path); err != nil {
		return err
	}
	d.change(nameChange{to: path, inode: &inode{folder: true}})
	return nil
}

func (d *crashDisk) syncFolder(path string) error {
	if err := d.operate("sync " + path); err != nil {
		return err
	}
	if d.names[path] == nil {
		return os.ErrNotExist
	}
	var left []nameChange
	for _, c := range d.changes {
		if filepath.Dir(c.to) == path {
			c.apply(d.durable)
			continue
		}
		left = append(left, c)
	}
	d.changes = left
	return nil
}

func (d *crashDisk) change(c nameChange) {
	c.apply(d.names)
	d.changes = append(d.changes, c)
}

func (c nameChange) apply(names map[string]*inode) {
	if c.from != "" && names[c.from] == c.inode {
		delete(names, c.from)
		moveBelow(names, c.from, c.to)
	}
	if c.inode == nil {
		delete(names, c.to)
		return
	}
	names[c.to] = c.inode
}

// crashFile is an open file of a crashDisk.
type crashFile struct {
	disk  *crashDisk
	inode *inode
	path  string
}

func (f *crashFile) ReadAt(data []byte, offset int64) (int, error) {
	return bytes.NewReader(f.inode.content).ReadAt(data, offset)
}

// WriteAt writes half of the data if it fails, as on a full disk.
func (f *crashFile) WriteAt(data []byte, offset int64) (int, error) {
	err := f.disk.operate("write " + f.path)
	if err != nil {
		data = data[:len(data)/2]
	}
	f.inode.change(contentChange{offset: offset, data: append([]byte{}, data...)})
	return len(data), err
}

func (f *crashFile) Truncate(size int64) error {
	if err := f.disk.operate("truncate " + f.path); err != nil {
		return err
	}
	f.inode.change(contentChange{offset: size})
	return nil
}

// Sync makes the content durable. If it fails, the content stays readable but no later sync makes it durable.
func (f *crashFile) Sync() error {
	err := f.disk.operate("sync " + f.path)
	if err == nil {
		for _, c := range f.inode.unsynced {
			f.inode.synced = c.apply(f.inode.synced)
		}
	}
	f.inode.unsynced = nil
	return err
}

func (f *crashFile) Close() error { return nil }

func (n *inode) change(c contentChange) {
	n.content = c.apply(n.content)
	n.unsynced = append(n.unsynced, c)
}

// apply returns the content after the change; a gap before it reads as zeros.
func (c contentChange) apply(content []byte) []byte {
	result := slices.Clone(content)
	end := int(c.offset) + len(c.data)
	if len(result) < end {
		result = append(result, make([]byte, end-len(result))...)
	}
	if c.data == nil {
		return result[:c.offset]
	}
	copy(result[c.offset:], c.data)
	return result
}

// clone returns a copy on which nothing is observed and nothing fails.
func (d *crashDisk) clone() *crashDisk {
	copies := map[*inode]*inode{nil: nil}
	copyOf := func(n *inode) *inode {
		if _, ok := copies[n]; !ok {
			copied := *n
			copied.unsynced = slices.Clone(n.unsynced)
			copies[n] = &copied
		}
		return copies[n]
	}
	result := &crashDisk{names: map[string]*inode{}, durable: map[string]*inode{}, before: func(string) {}}
	for name, n := range d.names {
		result.names[name] = copyOf(n)
	}
	for name, n := range d.durable {
		result.durable[name] = copyOf(n)
	}
	for _, c := range d.changes {
		c.inode = copyOf(c.inode)
		result.changes = append(result.changes, c)
	}
	return result
}

// keep decides what a loss of power leaves of one change to a file that was not synced, from 0, nothing, to 100,
// everything.
type keep func(path string) int

func keepNothing(string) int { return 0 }

// keepJournals keeps changes to journals only.
func keepJournals(path string) int {
	if filepath.Base(path) == journalName {
		return 100
	}
	return 0
}

// losePower returns the disk as it is found after a loss of power.
func (d *crashDisk) losePower(k keep) *crashDisk {
	result := d.clone()
	for _, c := range result.changes {
		if k(c.to) == 100 {
			c.apply(result.durable)
		}
	}
	result.changes = nil
	for _, name := range slices.Sorted(maps.Keys(result.durable)) {
		if result.durable[filepath.Dir(name)] == nil {
			delete(result.durable, name) // its folder was lost
			continue
		}
		result.durable[name].losePower(k, name)
	}
	result.names = maps.Clone(result.durable)
	return result
}

func (n *inode) losePower(k keep, path string) {
	for _, c := range n.unsynced {
		part := k(path)
		if c.data != nil {
			c.data = c.data[:len(c.data)*part/100]
		}
		if part > 0 {
			n.synced = c.apply(n.synced)
		}
	}
	n.unsynced = nil
	n.content = n.synced
}

// flipBit changes a bit of a file on the disk.
func (d *crashDisk) flipBit(path string, offset int) {
	n := d.names[path]
	n.content, n.synced = slices.Clone(n.content), slices.Clone(n.synced)
	n.content[offset] ^= 1
	n.synced[offset] ^= 1
}
