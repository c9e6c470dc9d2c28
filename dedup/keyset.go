package dedup

import "container/list"

// keySet is a set of keys that forgets the oldest ones. It is not safe for concurrent use.
type keySet struct {
	order    *list.List // the keys, oldest first
	elements map[string]*list.Element
}

func newKeySet() *keySet { return &keySet{order: list.New(), elements: map[string]*list.Element{}} }

// add adds a key and forgets the oldest ones until at most limit keys are left.
func (s *keySet) add(key string, limit int) {
	if s.elements[key] == nil {
		s.elements[key] = s.order.PushBack(key)
	}
	for s.order.Len() > limit {
		s.remove(s.order.Front().Value.(string))
	}
}

// remove removes a key if the set contains it.
func (s *keySet) remove(key string) {
	if element := s.elements[key]; element != nil {
		s.order.Remove(element)
		delete(s.elements, key)
	}
}

func (s *keySet) contains(key string) bool { return s.elements[key] != nil }
